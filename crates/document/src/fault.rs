use std::fmt;

use crate::MAX_SIZE;

/// Name of the field in faults that concern the document as a whole.
const DOCUMENT: &str = "document";

/// Faults that [`Faults`] prints; the rest is only counted, because the text goes into events and
/// status messages.
const MAX_PRINTED: usize = 8;

/// One fault and its place.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// The field, with the number from 1 of each array element on the way to it:
    /// `exception[2].reason`.
    pub field: String,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}, {}: {}", self.line, self.column, self.field, self.reason)
    }
}

/// All faults that were found in a document, at least one, in the order of the text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// The faults.
    pub fn iter(&self) -> impl Iterator<Item = &Fault> {
        self.0.iter()
    }
}

impl fmt::Display for Faults {
    /// Writes the first faults, separated by `; `, and the number of those left out.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().take(MAX_PRINTED).enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(f, "{separator}{fault}")?;
        }
        match self.0.len().saturating_sub(MAX_PRINTED) {
            0 => Ok(()),
            left => write!(f, "; and {left} more"),
        }
    }
}

impl std::error::Error for Faults {}

/// Collects faults by byte offset.
#[derive(Debug)]
pub(crate) struct Log<'t> {
    text: &'t str,
    /// Offset of the start of each line.
    lines: Vec<usize>,
    faults: Vec<Fault>,
}

impl<'t> Log<'t> {
    /// Starts a log for a document; a document that is too large is its first fault.
    pub(crate) fn new(text: &'t str) -> Self {
        let breaks = text.match_indices('\n').map(|(index, _)| index + 1);
        let lines = std::iter::once(0).chain(breaks).collect();
        let mut log = Self { text, lines, faults: Vec::new() };
        if text.len() > MAX_SIZE {
            log.whole(0, format!("{} bytes long, allowed are {MAX_SIZE}", text.len()));
        }
        log
    }

    /// Adds a fault at a byte offset.
    pub(crate) fn add(&mut self, offset: usize, field: impl Into<String>, reason: impl ToString) {
        let (line, column) = self.place(offset);
        self.add_at(line, column, field, reason);
    }

    /// Adds a fault of the document as a whole, such as broken syntax, that was noticed at a byte
    /// offset.
    pub(crate) fn whole(&mut self, offset: usize, reason: impl ToString) {
        self.add(offset, DOCUMENT, reason);
    }

    /// Adds a fault of the document as a whole at a known place.
    pub(crate) fn whole_at(&mut self, line: usize, column: usize, reason: impl ToString) {
        self.add_at(line, column, DOCUMENT, reason);
    }

    fn add_at(
        &mut self,
        line: usize,
        column: usize,
        field: impl Into<String>,
        reason: impl ToString,
    ) {
        self.faults.push(Fault { line, column, field: field.into(), reason: reason.to_string() });
    }

    /// Number of faults so far.
    pub(crate) fn len(&self) -> usize {
        self.faults.len()
    }

    /// Ends the log with the value that was read; it is `None` only if a fault was added.
    ///
    /// # Errors
    ///
    /// The faults, if there are any.
    pub(crate) fn finish<T>(self, value: Option<T>) -> Result<T, Faults> {
        match value {
            Some(value) if self.faults.is_empty() => Ok(value),
            _ => Err(self.faults()),
        }
    }

    /// Ends the log of a document that has faults.
    pub(crate) fn faults(mut self) -> Faults {
        self.faults.sort();
        Faults(self.faults)
    }

    fn place(&self, offset: usize) -> (usize, usize) {
        let line = self.lines.partition_point(|start| *start <= offset);
        let start = self.lines.get(line - 1).copied().unwrap_or(0);
        let before = self.text.get(start..offset).unwrap_or("");
        (line, before.chars().count() + 1)
    }
}
