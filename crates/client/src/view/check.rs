//! The result of checking documents.

use std::path::Path;

use serde_json::Value;
use serde_json::json;

use super::format;
use super::format::clean;
use super::value;
use jackdawpin_core::holder::config::UnknownName;
use jackdawpin_document::Fault;
use jackdawpin_document::Faults;
use jackdawpin_wire::DocumentVersion;

/// What a valid document contains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// Place in the order of documents.
    pub order: DocumentVersion,
    /// Kinds of parts with their numbers, such as services.
    pub parts: Vec<(&'static str, usize)>,
}

/// A document that was checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Checked {
    /// Name of the file.
    pub file: String,
    /// What it contains, or what is wrong with it.
    pub result: Result<Summary, Faults>,
}

impl Checked {
    /// Joins a result with the name of its file.
    pub fn new(file: &Path, result: Result<Summary, Faults>) -> Self {
        Self { file: file.display().to_string(), result }
    }
}

/// For each document one line, or one line for each fault; then one line for each warning, which is
/// about the first document.
pub fn text(documents: &[Checked], warnings: &[UnknownName]) -> String {
    let warning = |unknown: &UnknownName| format!("warning: {}\n", clean(&unknown.to_string()));
    documents.iter().map(document_text).chain(warnings.iter().map(warning)).collect()
}

fn document_text(checked: &Checked) -> String {
    let file = clean(&checked.file);
    match &checked.result {
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

/// One JSON document with the fields of the first document that was checked. The second one, if any,
/// is in the field `against`.
pub fn json(documents: &[Checked], warnings: &[UnknownName]) -> String {
    let mut documents = documents.iter().map(document_json);
    let mut value = documents.next().unwrap_or_default();
    if let Some(fields) = value.as_object_mut() {
        let warnings = warnings.iter().map(|unknown| Value::from(unknown.to_string()));
        fields.insert("warnings".to_owned(), warnings.collect());
        fields.extend(documents.next().map(|list| ("against".to_owned(), list)));
    }
    value::document(&value)
}

fn document_json(checked: &Checked) -> Value {
    let (summary, faults) = match &checked.result {
        Ok(summary) => (summary_json(summary), Vec::new()),
        Err(faults) => (Value::Null, faults.iter().map(fault_json).collect()),
    };
    let valid = checked.result.is_ok();
    json!({ "file": checked.file, "valid": valid, "document": summary, "faults": faults })
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
