use std::fmt;

use serde::Serialize;
use serde_json::Value;

/// A table of results: rows of values under named columns.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Table {
    /// Title, which says what was measured.
    pub title: String,
    /// Names of the columns, with their units.
    pub columns: Vec<&'static str>,
    /// The rows.
    pub rows: Vec<Vec<Value>>,
    /// Conditions and remarks, one line each.
    pub notes: Vec<String>,
}

impl Table {
    /// A table without rows and notes.
    pub fn new(title: impl Into<String>, columns: &[&'static str]) -> Self {
        Self { title: title.into(), columns: columns.to_vec(), rows: Vec::new(), notes: Vec::new() }
    }

    /// Adds a row.
    pub fn add_row(&mut self, values: impl IntoIterator<Item = Value>) {
        self.rows.push(values.into_iter().collect());
    }

    /// Adds a note, which is printed below the rows.
    pub fn add_note(&mut self, text: impl Into<String>) {
        self.notes.push(text.into());
    }
}

impl fmt::Display for Table {
    /// Writes the table in Markdown.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}\n", self.title)?;
        writeln!(f, "| {} |", self.columns.join(" | "))?;
        writeln!(f, "|{}", "---|".repeat(self.columns.len()))?;
        for row in &self.rows {
            let cells: Vec<String> = row.iter().map(format_cell).collect();
            writeln!(f, "| {} |", cells.join(" | "))?;
        }
        for note in &self.notes {
            writeln!(f, "\n{note}")?;
        }
        Ok(())
    }
}

/// Formats a value for the Markdown table, with floating-point numbers rounded to three decimal
/// places. The JSON form keeps the full precision.
fn format_cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            format!("{:.3}", number.as_f64().unwrap_or_default())
        }
        other => other.to_string(),
    }
}
