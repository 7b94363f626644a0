//! Output of the values in force for a server.

use serde_json::Value;
use serde_json::json;

use super::findings_json;
use super::format;
use super::format::escape_control;
use super::problems;
use super::table::Table;
use super::table::text_column;
use super::unreachable_json;
use super::value;
use crate::fleet::Finding;
use crate::fleet::Fleet;
use jackdawpin_wire::Explanation;
use jackdawpin_wire::Origin;
use jackdawpin_wire::ServerStatus;

/// The explanation of a server and its state on the entries that hold it.
#[derive(Debug, Clone)]
pub struct ExplainedServer<'a> {
    /// The explanation of the entry with the newest configuration; `None` if no entry knows the
    /// server.
    pub explanation: Option<&'a Explanation>,
    /// The VM names of the entries that hold the server, and its state there.
    pub holders: Vec<(&'a str, &'a ServerStatus)>,
}

/// A heading, whether the server receives new work, its state on its holders, and a table of values
/// with their origins; then the unreachable entries and warnings.
pub fn text(explained: &ExplainedServer<'_>, fleet: &Fleet, findings: &[Finding]) -> String {
    let problems = problems(fleet, findings);
    match explained.explanation {
        Some(explanation) => {
            let heading = heading(explanation);
            let holder_states = holder_states(explanation, &explained.holders);
            format!("{heading}{holder_states}\n{}{problems}", value_table(explanation))
        }
        None => problems.trim_start().to_owned(),
    }
}

/// One JSON document with the explanation message.
pub fn json(explained: &ExplainedServer<'_>, fleet: &Fleet, findings: &[Finding]) -> String {
    let holder = |(entry, server): &(&str, &ServerStatus)| json!({ "entry": entry, "server": value::message(server) });
    value::pretty(&json!({
        "explanation": explained.explanation.map(value::message),
        "holders": explained.holders.iter().map(holder).collect::<Value>(),
        "unreachable": unreachable_json(&fleet.unreachable),
        "warnings": findings_json(findings),
    }))
}

fn heading(explanation: &Explanation) -> String {
    let Explanation { service, server, domain, config, out, .. } = explanation;
    let version = format::version(Some(*config));
    let availability = match out {
        Some(reason) => format!("receives no new work: {}", escape_control(reason)),
        None => "not taken out of service by operators".to_owned(),
    };
    format!(
        "server {server} of service {service} in {domain}, configuration {version}\n{availability}\n"
    )
}

fn holder_states(explanation: &Explanation, holders: &[(&str, &ServerStatus)]) -> String {
    let mut lines = String::new();
    for (entry, server) in holders {
        let ServerStatus { state, why, limit, in_flight, .. } = server;
        let why =
            if why.is_empty() { String::new() } else { format!(" ({})", escape_control(why)) };
        lines.push_str(&format!(
            "held by {entry}: {state}{why}, {in_flight} in flight, limit {limit}\n"
        ));
    }
    let holder = explanation.holder.as_deref();
    match holder {
        Some(holder) if holders.iter().any(|(entry, _)| *entry == holder) => {}
        Some(holder) => {
            lines.push_str(&format!("{holder} should hold it and does not report it\n"))
        }
        None => lines.push_str("no entry should hold it\n"),
    }
    lines
}

fn value_table(explanation: &Explanation) -> String {
    let mut table = Table::new([
        text_column("FIELD"),
        text_column("VALUE"),
        text_column("FROM"),
        text_column("REASON"),
    ]);
    for setting in &explanation.settings {
        let (from, reason) = match &setting.origin {
            Origin::Default => ("defaults".to_owned(), ""),
            Origin::Service => ("service".to_owned(), ""),
            Origin::Exception { scope, reason } => {
                (format!("exception for {scope}"), reason.as_str())
            }
        };
        table.add_row([setting.field.as_str(), &setting.value, &from, reason]);
    }
    table.to_string()
}
