//! Output of the merged timeline.

use serde_json::Value;
use serde_json::json;

use super::findings_json;
use super::format;
use super::format::escape_control;
use super::problems;
use super::unreachable_json;
use super::value;
use crate::fleet::DroppedEvents;
use crate::fleet::Finding;
use crate::fleet::Fleet;
use crate::fleet::TimelineEvent;
use crate::fleet::UnreachableEntry;
use jackdawpin_wire::Stamp;

/// Width of the longest kind of event, `config_accepted`, in characters.
const KIND_WIDTH: usize = 15;

/// Width of a stamp whose counter has up to two digits, in characters.
const STAMP_WIDTH: usize = 27;

/// The numbers of dropped events, the events, then the unreachable entries and warnings.
pub fn text(
    events: &[TimelineEvent],
    dropped: &[DroppedEvents],
    fleet: &Fleet,
    findings: &[Finding],
) -> String {
    let width = entry_name_width(fleet);
    let dropped = dropped.iter().map(dropped_text);
    let events = events.iter().map(|event| event_text(event, width));
    let problems = problems(fleet, findings);
    dropped.chain(events).chain([problems]).collect()
}

/// One JSON document with all events.
pub fn json(
    events: &[TimelineEvent],
    dropped: &[DroppedEvents],
    fleet: &Fleet,
    findings: &[Finding],
) -> String {
    value::pretty(&json!({
        "events": events.iter().map(event_json).collect::<Value>(),
        "dropped": dropped.iter().map(dropped_json).collect::<Value>(),
        "unreachable": unreachable_json(&fleet.unreachable),
        "warnings": findings_json(findings),
    }))
}

/// The result of one poll of the follow mode, with entry names padded to `width` characters.
pub fn follow_text(events: &[TimelineEvent], dropped: &[DroppedEvents], width: usize) -> String {
    dropped
        .iter()
        .map(dropped_text)
        .chain(events.iter().map(|event| event_text(event, width)))
        .collect()
}

/// The result of one poll of the follow mode, one JSON object per line.
pub fn follow_json(events: &[TimelineEvent], dropped: &[DroppedEvents]) -> String {
    let dropped = dropped.iter().map(|dropped| json!({ "dropped": dropped_json(dropped) }));
    let events = events.iter().map(|event| json!({ "event": event_json(event) }));
    dropped.chain(events).map(|object| value::compact_line(&object)).collect()
}

/// Entries that became unreachable, one line each.
pub fn unreachable_text(entries: &[UnreachableEntry]) -> String {
    let line = |entry: &UnreachableEntry| {
        let vm = entry.vm.as_deref().unwrap_or("an entry");
        format!(
            "-- {vm} at {} cannot be reached: {}\n",
            entry.address,
            escape_control(&entry.reason)
        )
    };
    entries.iter().map(line).collect()
}

/// Entries that became unreachable, one JSON object per line.
pub fn unreachable_json_lines(entries: &[UnreachableEntry]) -> String {
    let line = |entry| value::compact_line(&json!({ "unreachable": entry }));
    let Value::Array(entries) = unreachable_json(entries) else { return String::new() };
    entries.into_iter().map(line).collect()
}

/// Width of the longest name of a reachable entry, in characters.
pub fn entry_name_width(fleet: &Fleet) -> usize {
    let names = fleet.reachable.iter().map(|entry| entry.status.vm.chars().count());
    names.max().unwrap_or(0)
}

fn event_text(timeline_event: &TimelineEvent, width: usize) -> String {
    let TimelineEvent { entry, event, late, .. } = timeline_event;
    let stamp = format::timestamp(event.stamp);
    let text = escape_control(&event.text);
    let late = if *late { " (late)" } else { "" };
    let kind = &event.kind;
    format!("{stamp:<STAMP_WIDTH$}  {entry:<width$}  {kind:<KIND_WIDTH$}  {text}{late}\n")
}

fn dropped_text(dropped: &DroppedEvents) -> String {
    let DroppedEvents { entry, count } = dropped;
    format!("-- {entry} has dropped {count} earlier events\n")
}

fn event_json(timeline_event: &TimelineEvent) -> Value {
    let TimelineEvent { entry, incarnation, event, late } = timeline_event;
    let Stamp { millis, counter } = event.stamp;
    json!({
        "time": format::timestamp(Stamp { millis, counter: 0 }),
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

fn dropped_json(dropped: &DroppedEvents) -> Value {
    json!({ "entry": dropped.entry, "events": dropped.count })
}
