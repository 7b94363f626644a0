//! Rates and latency per service.

use serde_json::Value;
use serde_json::json;

use super::findings_json;
use super::format;
use super::problems;
use super::table::Table;
use super::table::number_column;
use super::table::text_column;
use super::unreachable_json;
use super::value;
use crate::fleet::Finding;
use crate::fleet::Fleet;
use crate::fleet::ServiceSummary;

/// Escape sequence that moves the cursor to the top left corner of the terminal and erases the
/// screen from there.
pub const CLEAR_SCREEN: &str = "\x1b[H\x1b[J";

/// A table of services, then the unreachable entries and warnings.
pub fn text(summaries: &[ServiceSummary], fleet: &Fleet, findings: &[Finding]) -> String {
    let reached = fleet.reachable.len();
    let all = reached + fleet.unreachable.len();
    let mut table = Table::new([
        text_column("SERVICE"),
        number_column("REQUESTS/S"),
        number_column("ANSWERED/S"),
        number_column("REFUSED/S"),
        number_column("UNKNOWN/S"),
        number_column("GIVEN UP/S"),
        number_column("WAITING"),
        number_column("IN FLIGHT"),
        number_column("MAX P50 MS"),
        number_column("MAX P99 MS"),
        number_column("SERVERS"),
    ]);
    for summary in summaries {
        table.add_row([
            summary.service.clone(),
            format_rate(summary.accepted),
            format_rate(summary.answered),
            format_rate(summary.refused),
            format_rate(summary.unknown),
            format_rate(summary.abandoned),
            summary.waiting.to_string(),
            summary.in_flight.to_string(),
            format::latency_ms(summary.p50_us),
            format::latency_ms(summary.p99_us),
            summary.servers.to_string(),
        ]);
    }
    format!("{reached} of {all} entries reached\n\n{table}{}", problems(fleet, findings))
}

/// The rates as JSON: an indented document if `once` is set, otherwise one line, because more
/// follow.
pub fn json(
    summaries: &[ServiceSummary],
    fleet: &Fleet,
    findings: &[Finding],
    once: bool,
) -> String {
    let value = json!({
        "entries": fleet.reachable.len(),
        "services": summaries.iter().map(summary_json).collect::<Value>(),
        "unreachable": unreachable_json(&fleet.unreachable),
        "warnings": findings_json(findings),
    });
    if once { value::pretty(&value) } else { value::compact_line(&value) }
}

fn format_rate(rate: f64) -> String {
    format!("{rate:.1}")
}

fn summary_json(summary: &ServiceSummary) -> Value {
    json!({
        "service": summary.service,
        "accepted_per_s": summary.accepted,
        "answered_per_s": summary.answered,
        "refused_per_s": summary.refused,
        "unknown_per_s": summary.unknown,
        "abandoned_per_s": summary.abandoned,
        "waiting": summary.waiting,
        "in_flight": summary.in_flight,
        "max_p50_us": summary.p50_us,
        "max_p99_us": summary.p99_us,
        "servers": summary.servers,
    })
}
