//! The values in force for a server.

use serde_json::Value;
use serde_json::json;

use super::findings_json;
use super::format;
use super::format::clean;
use super::notes;
use super::table::Table;
use super::table::left;
use super::unreachable_json;
use super::value;
use crate::fleet::Finding;
use crate::fleet::Fleet;
use jackdawpin_wire::Explanation;
use jackdawpin_wire::Origin;
use jackdawpin_wire::ServerStatus;

/// An explanation and the server as the entries that hold it see it.
#[derive(Debug, Clone)]
pub struct Subject<'a> {
    /// The explanation by the entry with the newest configuration; `None` if no entry knows the
    /// server.
    pub explanation: Option<&'a Explanation>,
    /// The entries that hold the server, and its state there.
    pub holders: Vec<(&'a str, &'a ServerStatus)>,
}

/// A heading, why the server gets no work, its state, and a table of values with their origins.
pub fn text(subject: &Subject<'_>, fleet: &Fleet, findings: &[Finding]) -> String {
    let notes = notes(fleet, findings);
    match subject.explanation {
        Some(explanation) => {
            let heading = heading(explanation);
            let state = state(explanation, &subject.holders);
            format!("{heading}{state}\n{}{notes}", values(explanation))
        }
        None => notes.trim_start().to_owned(),
    }
}

/// One document with the explanation as it is.
pub fn json(subject: &Subject<'_>, fleet: &Fleet, findings: &[Finding]) -> String {
    let holder = |(entry, server): &(&str, &ServerStatus)| json!({ "entry": entry, "server": value::message(server) });
    value::document(&json!({
        "explanation": subject.explanation.map(value::message),
        "holders": subject.holders.iter().map(holder).collect::<Value>(),
        "unreachable": unreachable_json(&fleet.unreachable),
        "warnings": findings_json(findings),
    }))
}

fn heading(explanation: &Explanation) -> String {
    let Explanation { service, server, domain, config, out, .. } = explanation;
    let order = format::order(Some(*config));
    let work = match out {
        Some(reason) => format!("receives no new work: {}", clean(reason)),
        None => "not taken out of service by operators".to_owned(),
    };
    format!("server {server} of service {service} in {domain}, configuration {order}\n{work}\n")
}

fn state(explanation: &Explanation, holders: &[(&str, &ServerStatus)]) -> String {
    let mut lines = String::new();
    for (entry, server) in holders {
        let ServerStatus { state, why, limit, in_flight, .. } = server;
        let why = if why.is_empty() { String::new() } else { format!(" ({})", clean(why)) };
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

fn values(explanation: &Explanation) -> String {
    let mut table = Table::new([left("FIELD"), left("VALUE"), left("FROM"), left("REASON")]);
    for setting in &explanation.settings {
        let (from, reason) = match &setting.origin {
            Origin::Default => ("defaults".to_owned(), ""),
            Origin::Service => ("service".to_owned(), ""),
            Origin::Exception { scope, reason } => {
                (format!("exception for {scope}"), reason.as_str())
            }
        };
        table.row([setting.field.as_str(), &setting.value, &from, reason]);
    }
    table.to_string()
}
