use std::fmt;

use super::format::escape_control;

/// Number of spaces between two columns.
const COLUMN_GAP: usize = 2;

/// A column's title and alignment.
#[derive(Debug, Clone, Copy)]
pub(super) struct Column {
    title: &'static str,
    right_aligned: bool,
}

/// A left-aligned column of texts.
pub(super) const fn text_column(title: &'static str) -> Column {
    Column { title, right_aligned: false }
}

/// A right-aligned column of numbers.
pub(super) const fn number_column(title: &'static str) -> Column {
    Column { title, right_aligned: true }
}

/// A table with a title row.
#[derive(Debug)]
pub(super) struct Table<const N: usize> {
    columns: [Column; N],
    rows: Vec<[String; N]>,
}

impl<const N: usize> Table<N> {
    /// An empty table.
    pub(super) fn new(columns: [Column; N]) -> Self {
        Self { columns, rows: Vec::new() }
    }

    /// Adds a row, with control characters escaped.
    pub(super) fn add_row<T: AsRef<str>>(&mut self, cells: [T; N]) {
        self.rows.push(cells.map(|cell| escape_control(cell.as_ref()).into_owned()));
    }

    /// Width of a column with its title, in characters.
    fn column_width(&self, index: usize) -> usize {
        let title = self.columns.iter().map(|column| column.title).skip(index).take(1);
        let cells = self.rows.iter().flat_map(|row| row.get(index)).map(String::as_str);
        title.chain(cells).map(|cell| cell.chars().count()).max().unwrap_or(0)
    }

    fn format_row(&self, widths: &[usize], cells: [&str; N]) -> String {
        let mut line = String::new();
        for ((cell, column), width) in cells.into_iter().zip(&self.columns).zip(widths) {
            let padding = " ".repeat(width.saturating_sub(cell.chars().count()));
            let parts = if column.right_aligned { [&padding, cell] } else { [cell, &padding] };
            line.extend(parts);
            line.push_str(&" ".repeat(COLUMN_GAP));
        }
        line.truncate(line.trim_end().len());
        line
    }
}

impl<const N: usize> fmt::Display for Table<N> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths: Vec<usize> = (0..N).map(|index| self.column_width(index)).collect();
        let titles = self.columns.map(|column| column.title);
        writeln!(f, "{}", self.format_row(&widths, titles))?;
        for row in &self.rows {
            writeln!(f, "{}", self.format_row(&widths, row.each_ref().map(String::as_str)))?;
        }
        Ok(())
    }
}
