//! Formats messages: tables and sentences for people, JSON for programs.
//!
//! All functions are pure. Control characters in texts from entries or documents are escaped before
//! they reach a terminal.

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

use self::format::escape_control;
use self::table::Table;
use self::table::text_column;
use crate::fleet::Finding;
use crate::fleet::Fleet;
use crate::fleet::UnreachableEntry;

/// The unreachable entries and a warning for each finding. Empty if there are none.
pub fn problems(fleet: &Fleet, findings: &[Finding]) -> String {
    let mut text = String::new();
    if !fleet.unreachable.is_empty() {
        text.push('\n');
        text.push_str(&unreachable_table(&fleet.unreachable));
    }
    if !findings.is_empty() {
        text.push('\n');
    }
    for finding in findings {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "warning: {}", escape_control(&finding.to_string()));
    }
    text
}

fn unreachable_table(entries: &[UnreachableEntry]) -> String {
    let mut table =
        Table::new([text_column("UNREACHABLE"), text_column("ADDRESS"), text_column("REASON")]);
    for entry in entries {
        let vm = entry.vm.as_deref().unwrap_or("-");
        table.add_row([vm, &entry.address, &entry.reason]);
    }
    table.to_string()
}

fn unreachable_json(entries: &[UnreachableEntry]) -> Value {
    let entry = |entry: &UnreachableEntry| json!({ "vm": entry.vm, "address": entry.address, "reason": entry.reason });
    entries.iter().map(entry).collect()
}

fn findings_json(findings: &[Finding]) -> Value {
    findings.iter().map(|finding| Value::from(finding.to_string())).collect()
}
