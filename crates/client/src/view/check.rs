//! Output of the check of documents.

use std::path::Path;

use serde_json::Value;
use serde_json::json;

use super::format;
use super::format::escape_control;
use super::value;
use jackdawpin_core::holder::config::UnknownName;
use jackdawpin_document::Fault;
use jackdawpin_document::Faults;
use jackdawpin_wire::DocumentVersion;

/// Summary of a valid document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentSummary {
    /// Version of the document.
    pub version: DocumentVersion,
    /// Number of items of each kind, such as services.
    pub counts: Vec<(&'static str, usize)>,
}

/// A document that was checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckedDocument {
    /// Name of the file.
    pub file: String,
    /// The summary of a valid document, or the faults of an invalid one.
    pub result: Result<DocumentSummary, Faults>,
}

impl CheckedDocument {
    /// Pairs a result with the name of its file.
    pub fn new(file: &Path, result: Result<DocumentSummary, Faults>) -> Self {
        Self { file: file.display().to_string(), result }
    }
}

/// One line for each valid document or fault, then one line for each warning about the first
/// document.
pub fn text(documents: &[CheckedDocument], warnings: &[UnknownName]) -> String {
    let warning =
        |unknown: &UnknownName| format!("warning: {}\n", escape_control(&unknown.to_string()));
    documents.iter().map(document_text).chain(warnings.iter().map(warning)).collect()
}

fn document_text(checked: &CheckedDocument) -> String {
    let file = escape_control(&checked.file);
    match &checked.result {
        Ok(summary) => {
            let counts = summary.counts.iter().map(|(name, count)| format!(", {name}: {count}"));
            let counts: String = counts.collect();
            format!("{file}: valid, number {}{counts}\n", format::version(Some(summary.version)))
        }
        Err(faults) => {
            let line = |fault: &Fault| format!("{file}: {}\n", escape_control(&fault.to_string()));
            faults.iter().map(line).collect()
        }
    }
}

/// One JSON document with the result of the first document. The result of the second one, if any,
/// is in the field `against`.
pub fn json(documents: &[CheckedDocument], warnings: &[UnknownName]) -> String {
    let mut results = documents.iter().map(document_json);
    let mut value = results.next().unwrap_or_default();
    if let Some(fields) = value.as_object_mut() {
        let warnings = warnings.iter().map(|unknown| Value::from(unknown.to_string()));
        fields.insert("warnings".to_owned(), warnings.collect());
        fields.extend(results.next().map(|second| ("against".to_owned(), second)));
    }
    value::pretty(&value)
}

fn document_json(checked: &CheckedDocument) -> Value {
    let (summary, faults) = match &checked.result {
        Ok(summary) => (summary_json(summary), Vec::new()),
        Err(faults) => (Value::Null, faults.iter().map(fault_json).collect()),
    };
    let valid = checked.result.is_ok();
    json!({ "file": checked.file, "valid": valid, "document": summary, "faults": faults })
}

fn summary_json(summary: &DocumentSummary) -> Value {
    let counts = summary.counts.iter().map(|(name, count)| ((*name).to_owned(), json!(count)));
    json!({ "order": value::message(&summary.version), "parts": Value::Object(counts.collect()) })
}

fn fault_json(fault: &Fault) -> Value {
    json!({
        "line": fault.line,
        "column": fault.column,
        "field": fault.field,
        "reason": fault.reason,
    })
}
