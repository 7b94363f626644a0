//! The result of checking a document.

use serde_json::Value;
use serde_json::json;

use super::format;
use super::format::clean;
use super::value;
use jackdawpin_document::Fault;
use jackdawpin_document::Faults;
use jackdawpin_wire::Order;

/// What a valid document contains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// Place in the order of documents.
    pub order: Order,
    /// Kinds of parts with their numbers, such as services.
    pub parts: Vec<(&'static str, usize)>,
}

/// One line, or one line for each fault.
pub fn text(file: &str, result: &Result<Summary, Faults>) -> String {
    let file = clean(file);
    match result {
        Ok(summary) => {
            let parts = summary.parts.iter().map(|(name, count)| format!(", {name}: {count}"));
            let parts: String = parts.collect();
            format!("{file}: valid, number {}{parts}\n", format::order(Some(summary.order)))
        }
        Err(faults) => {
            let line = |fault: &Fault| format!("{file}: {}\n", clean(&fault.to_string()));
            faults.iter().map(line).collect()
        }
    }
}

/// One document.
pub fn json(file: &str, result: &Result<Summary, Faults>) -> String {
    let (summary, faults) = match result {
        Ok(summary) => (summary_json(summary), Vec::new()),
        Err(faults) => (Value::Null, faults.iter().map(fault_json).collect()),
    };
    let valid = result.is_ok();
    let value = json!({ "file": file, "valid": valid, "document": summary, "faults": faults });
    value::document(&value)
}

fn summary_json(summary: &Summary) -> Value {
    let parts = summary.parts.iter().map(|(name, count)| ((*name).to_owned(), json!(count)));
    json!({ "order": value::message(&summary.order), "parts": Value::Object(parts.collect()) })
}

fn fault_json(fault: &Fault) -> Value {
    json!({
        "line": fault.line,
        "column": fault.column,
        "field": fault.field,
        "reason": fault.reason,
    })
}
