//! The merged timeline.

use serde_json::Value;
use serde_json::json;

use super::findings_json;
use super::format;
use super::format::clean;
use super::notes;
use super::unreachable_json;
use super::value;
use crate::fleet::Finding;
use crate::fleet::Fleet;
use crate::fleet::Gap;
use crate::fleet::Record;
use crate::fleet::Unreachable;
use jackdawpin_wire::Stamp;

/// Width of the longest kind of event, `config_accepted`.
const KIND_WIDTH: usize = 15;

/// Width of a stamp whose counter has up to two digits.
const STAMP_WIDTH: usize = 27;

/// What entries no longer have, the events, then the entries that gave no answer and warnings.
pub fn text(records: &[Record], gaps: &[Gap], fleet: &Fleet, findings: &[Finding]) -> String {
    let width = name_width(fleet);
    let gaps = gaps.iter().map(gap);
    let records = records.iter().map(|record| line(record, width));
    let notes = notes(fleet, findings);
    gaps.chain(records).chain([notes]).collect()
}

/// One document with all events.
pub fn json(records: &[Record], gaps: &[Gap], fleet: &Fleet, findings: &[Finding]) -> String {
    value::document(&json!({
        "events": records.iter().map(record_json).collect::<Value>(),
        "dropped": gaps.iter().map(gap_json).collect::<Value>(),
        "unreachable": unreachable_json(&fleet.unreachable),
        "warnings": findings_json(findings),
    }))
}

/// What one poll of the follow mode returned: `width` is that of [`name_width`].
pub fn follow_text(records: &[Record], gaps: &[Gap], width: usize) -> String {
    gaps.iter().map(gap).chain(records.iter().map(|record| line(record, width))).collect()
}

/// What one poll of the follow mode returned, one JSON object per line.
pub fn follow_json(records: &[Record], gaps: &[Gap]) -> String {
    let gaps = gaps.iter().map(|gap| json!({ "dropped": gap_json(gap) }));
    let records = records.iter().map(|record| json!({ "event": record_json(record) }));
    gaps.chain(records).map(|value| value::line(&value)).collect()
}

/// Entries that gave no answer to a poll and did to the one before.
pub fn lost_text(lost: &[Unreachable]) -> String {
    let line = |entry: &Unreachable| {
        let vm = entry.vm.as_deref().unwrap_or("an entry");
        format!("-- {vm} at {} cannot be reached: {}\n", entry.address, clean(&entry.reason))
    };
    lost.iter().map(line).collect()
}

/// Entries that gave no answer to a poll and did to the one before, one JSON object per line.
pub fn lost_json(lost: &[Unreachable]) -> String {
    let entry = |entry| value::line(&json!({ "unreachable": entry }));
    let Value::Array(lost) = unreachable_json(lost) else { return String::new() };
    lost.into_iter().map(entry).collect()
}

/// Width of the longest name of an entry.
pub fn name_width(fleet: &Fleet) -> usize {
    let names = fleet.members.iter().map(|member| member.status.vm.chars().count());
    names.max().unwrap_or(0)
}

fn line(record: &Record, width: usize) -> String {
    let Record { entry, event, late, .. } = record;
    let stamp = format::stamp(event.stamp);
    let text = clean(&event.text);
    let late = if *late { " (late)" } else { "" };
    let kind = &event.kind;
    format!("{stamp:<STAMP_WIDTH$}  {entry:<width$}  {kind:<KIND_WIDTH$}  {text}{late}\n")
}

fn gap(gap: &Gap) -> String {
    let Gap { entry, dropped } = gap;
    format!("-- {entry} has dropped {dropped} earlier events\n")
}

fn record_json(record: &Record) -> Value {
    let Record { entry, incarnation, event, late } = record;
    let Stamp { millis, counter } = event.stamp;
    json!({
        "time": format::stamp(Stamp { millis, counter: 0 }),
        "stamp": { "millis": millis, "counter": counter },
        "entry": entry,
        "incarnation": value::hex(*incarnation),
        "number": event.number,
        "kind": event.kind,
        "text": event.text,
        "service": event.service,
        "vm": event.vm,
        "late": late,
    })
}

fn gap_json(gap: &Gap) -> Value {
    json!({ "entry": gap.entry, "events": gap.dropped })
}
