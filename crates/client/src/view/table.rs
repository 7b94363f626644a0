use std::fmt;

use super::format::clean;

/// Space between two columns.
const GAP: usize = 2;

/// A column's title and alignment.
#[derive(Debug, Clone, Copy)]
pub(super) struct Column {
    title: &'static str,
    right: bool,
}

/// A column of texts.
pub(super) const fn left(title: &'static str) -> Column {
    Column { title, right: false }
}

/// A column of numbers.
pub(super) const fn right(title: &'static str) -> Column {
    Column { title, right: true }
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

    /// Adds a row.
    pub(super) fn row<T: AsRef<str>>(&mut self, cells: [T; N]) {
        self.rows.push(cells.map(|cell| clean(cell.as_ref()).into_owned()));
    }

    fn width(&self, index: usize) -> usize {
        let title = self.columns.iter().map(|column| column.title).skip(index).take(1);
        let cells = self.rows.iter().flat_map(|row| row.get(index)).map(String::as_str);
        title.chain(cells).map(|cell| cell.chars().count()).max().unwrap_or(0)
    }

    fn line(&self, widths: &[usize], cells: [&str; N]) -> String {
        let mut line = String::new();
        for ((cell, column), width) in cells.into_iter().zip(&self.columns).zip(widths) {
            let space = " ".repeat(width.saturating_sub(cell.chars().count()));
            let parts = if column.right { [&space, cell] } else { [cell, &space] };
            line.extend(parts);
            line.push_str(&" ".repeat(GAP));
        }
        line.truncate(line.trim_end().len());
        line
    }
}

impl<const N: usize> fmt::Display for Table<N> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths: Vec<usize> = (0..N).map(|index| self.width(index)).collect();
        let titles = self.columns.map(|column| column.title);
        writeln!(f, "{}", self.line(&widths, titles))?;
        for row in &self.rows {
            writeln!(f, "{}", self.line(&widths, row.each_ref().map(String::as_str)))?;
        }
        Ok(())
    }
}
