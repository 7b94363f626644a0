use std::fmt;

use crate::MAX_DOCUMENT_BYTES;

/// Name of the field in faults that concern the document as a whole.
const DOCUMENT_FIELD: &str = "document";

/// Number of faults that [`Faults`] prints. The others are only counted, because the text goes into
/// events and status messages.
const MAX_PRINTED: usize = 8;

/// One fault and its position in the text.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Path of the field, with array elements numbered from 1: `exception[2].reason`.
    pub field: String,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}, {}: {}", self.line, self.column, self.field, self.reason)
    }
}

/// All faults that were found in a document, in the order of the text. There is at least one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// The faults.
    pub fn iter(&self) -> impl Iterator<Item = &Fault> {
        self.0.iter()
    }
}

impl fmt::Display for Faults {
    /// Writes the first faults, separated by `; `, and the number of the others.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().take(MAX_PRINTED).enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(f, "{separator}{fault}")?;
        }
        match self.0.len().saturating_sub(MAX_PRINTED) {
            0 => Ok(()),
            omitted => write!(f, "; and {omitted} more"),
        }
    }
}

impl std::error::Error for Faults {}

/// Collects the faults of a document and converts their byte offsets to lines and columns.
#[derive(Debug)]
pub(crate) struct FaultCollector<'t> {
    text: &'t str,
    /// Byte offset of the start of each line.
    line_starts: Vec<usize>,
    faults: Vec<Fault>,
}

impl<'t> FaultCollector<'t> {
    /// Creates a collector for a document. If the document is too large, this is its first fault.
    pub(crate) fn new(text: &'t str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(index, _)| index + 1);
        let line_starts = std::iter::once(0).chain(after_breaks).collect();
        let mut collector = Self { text, line_starts, faults: Vec::new() };
        if text.len() > MAX_DOCUMENT_BYTES {
            collector.add_document_fault(
                0,
                format!("{} bytes long, allowed are {MAX_DOCUMENT_BYTES}", text.len()),
            );
        }
        collector
    }

    /// Adds a fault at a byte offset.
    pub(crate) fn add(&mut self, offset: usize, field: impl Into<String>, reason: impl ToString) {
        let (line, column) = self.position(offset);
        self.add_at(line, column, field, reason);
    }

    /// Adds a fault of the document as a whole, such as a syntax error, that was found at a byte
    /// offset.
    pub(crate) fn add_document_fault(&mut self, offset: usize, reason: impl ToString) {
        self.add(offset, DOCUMENT_FIELD, reason);
    }

    /// Adds a fault of the document as a whole at a line and column.
    pub(crate) fn add_document_fault_at(
        &mut self,
        line: usize,
        column: usize,
        reason: impl ToString,
    ) {
        self.add_at(line, column, DOCUMENT_FIELD, reason);
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

    /// Returns the parsed value if there are no faults. `value` may be `None` only if a fault was
    /// added.
    ///
    /// # Errors
    ///
    /// The faults, if there are any.
    pub(crate) fn finish<T>(self, value: Option<T>) -> Result<T, Faults> {
        match value {
            Some(value) if self.faults.is_empty() => Ok(value),
            _ => Err(self.into_faults()),
        }
    }

    /// The collected faults in the order of the text; at least one must have been added.
    pub(crate) fn into_faults(mut self) -> Faults {
        self.faults.sort();
        Faults(self.faults)
    }

    /// Line and column of a byte offset, both from 1.
    fn position(&self, offset: usize) -> (usize, usize) {
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let start = self.line_starts.get(line - 1).copied().unwrap_or(0);
        let before = self.text.get(start..offset).unwrap_or("");
        (line, before.chars().count() + 1)
    }
}
