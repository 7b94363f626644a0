//! Rates and latency per service.

use serde_json::Value;
use serde_json::json;

use super::findings_json;
use super::format;
use super::notes;
use super::table::Table;
use super::table::left;
use super::table::right;
use super::unreachable_json;
use super::value;
use crate::fleet::Finding;
use crate::fleet::Fleet;
use crate::fleet::Row;

/// Moves to the top left corner of the terminal and erases everything below.
pub const ERASE: &str = "\x1b[H\x1b[J";

/// A table of services, then the entries that gave no answer and warnings.
pub fn text(rows: &[Row], fleet: &Fleet, findings: &[Finding]) -> String {
    let answered = fleet.members.len();
    let all = answered + fleet.unreachable.len();
    let mut table = Table::new([
        left("SERVICE"),
        right("REQUESTS/S"),
        right("ANSWERED/S"),
        right("REFUSED/S"),
        right("UNKNOWN/S"),
        right("GIVEN UP/S"),
        right("WAITING"),
        right("IN FLIGHT"),
        right("MAX P50 MS"),
        right("MAX P99 MS"),
        right("SERVERS"),
    ]);
    for row in rows {
        table.row([
            row.service.clone(),
            rate(row.accepted),
            rate(row.answered),
            rate(row.refused),
            rate(row.unknown),
            rate(row.abandoned),
            row.waiting.to_string(),
            row.in_flight.to_string(),
            format::latency(row.p50_us),
            format::latency(row.p99_us),
            row.servers.to_string(),
        ]);
    }
    format!("{answered} of {all} entries reached\n\n{table}{}", notes(fleet, findings))
}

/// The view as JSON: one document of several lines, or one line where views follow each other.
pub fn json(rows: &[Row], fleet: &Fleet, findings: &[Finding], once: bool) -> String {
    let value = json!({
        "entries": fleet.members.len(),
        "services": rows.iter().map(row_json).collect::<Value>(),
        "unreachable": unreachable_json(&fleet.unreachable),
        "warnings": findings_json(findings),
    });
    if once { value::document(&value) } else { value::line(&value) }
}

fn rate(rate: f64) -> String {
    format!("{rate:.1}")
}

fn row_json(row: &Row) -> Value {
    json!({
        "service": row.service,
        "accepted_per_s": row.accepted,
        "answered_per_s": row.answered,
        "refused_per_s": row.refused,
        "unknown_per_s": row.unknown,
        "abandoned_per_s": row.abandoned,
        "waiting": row.waiting,
        "in_flight": row.in_flight,
        "max_p50_us": row.p50_us,
        "max_p99_us": row.p99_us,
        "servers": row.servers,
    })
}
