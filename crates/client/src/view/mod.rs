//! Turns messages into text: tables and sentences for people, JSON for programs.
//!
//! All functions are pure. Texts that come from entries or documents are stripped of control
//! characters before they reach a terminal.

pub mod check;
pub mod explain;
pub mod format;
pub mod status;
mod table;
pub mod timeline;
pub mod top;
mod value;

use std::fmt::Write;

use serde_json::Value;
use serde_json::json;

use self::format::clean;
use self::table::Table;
use self::table::left;
use crate::fleet::Finding;
use crate::fleet::Fleet;
use crate::fleet::Unreachable;

/// The entries that gave no answer, and what is wrong with the others. Empty if there is nothing to
/// say.
pub fn notes(fleet: &Fleet, findings: &[Finding]) -> String {
    let mut text = String::new();
    if !fleet.unreachable.is_empty() {
        text.push('\n');
        text.push_str(&unreachable(&fleet.unreachable));
    }
    if !findings.is_empty() {
        text.push('\n');
    }
    for finding in findings {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "warning: {}", clean(&finding.to_string()));
    }
    text
}

fn unreachable(entries: &[Unreachable]) -> String {
    let mut table = Table::new([left("UNREACHABLE"), left("ADDRESS"), left("REASON")]);
    for entry in entries {
        let vm = entry.vm.as_deref().unwrap_or("-");
        table.row([vm, &entry.address, &entry.reason]);
    }
    table.to_string()
}

fn unreachable_json(entries: &[Unreachable]) -> Value {
    let entry = |entry: &Unreachable| json!({ "vm": entry.vm, "address": entry.address, "reason": entry.reason });
    entries.iter().map(entry).collect()
}

fn findings_json(findings: &[Finding]) -> Value {
    findings.iter().map(|finding| Value::from(finding.to_string())).collect()
}
