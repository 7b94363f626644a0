//! Entries and the servers that they hold.

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
use crate::fleet::Member;
use jackdawpin_wire::ServerStatus;
use jackdawpin_wire::Status;

/// Tables of entries and servers, then the entries that gave no answer and warnings.
pub fn text(fleet: &Fleet, findings: &[Finding]) -> String {
    let notes = notes(fleet, findings);
    if fleet.members.is_empty() {
        return notes.trim_start().to_owned();
    }
    format!("{}\n{}{notes}", entries(fleet), servers(fleet))
}

/// One document with the status messages as they are.
pub fn json(fleet: &Fleet, findings: &[Finding]) -> String {
    value::document(&json!({
        "entries": fleet.members.iter().map(member).collect::<Value>(),
        "unreachable": unreachable_json(&fleet.unreachable),
        "warnings": findings_json(findings),
    }))
}

fn member(member: &Member) -> Value {
    let mut value = value::message(&member.status);
    if let Some(fields) = value.as_object_mut() {
        fields.insert("address".to_owned(), member.address.clone().into());
    }
    value
}

fn entries(fleet: &Fleet) -> String {
    let mut table = Table::new([
        left("ENTRY"),
        left("DOMAIN"),
        left("STATE"),
        left("CONFIGURATION"),
        left("VM LIST"),
        right("PLATFORM"),
        right("SERVERS"),
        right("LIMIT"),
        right("IN FLIGHT"),
        right("UPTIME"),
    ]);
    for member in &fleet.members {
        let status = &member.status;
        let held = || held(status).map(|(_, server)| server);
        let age = status.platform_age_ms.map_or_else(|| "never".to_owned(), format::millis);
        table.row([
            status.vm.clone(),
            status.domain.clone(),
            state(status),
            format::order(status.config),
            format::order(status.vms),
            age,
            held().count().to_string(),
            held().map(|server| u64::from(server.limit)).sum::<u64>().to_string(),
            held().map(|server| u64::from(server.in_flight)).sum::<u64>().to_string(),
            format::millis(status.uptime_ms),
        ]);
    }
    table.to_string()
}

fn state(status: &Status) -> String {
    let states = [
        (status.ready, "ready"),
        (!status.ready && !status.leaving, "starting"),
        (status.leaving, "leaving"),
        (status.fenced, "fenced"),
        (status.config_refused.is_some() || status.vms_refused.is_some(), "refused"),
    ];
    let states = states.iter().filter(|(applies, _)| *applies).map(|(_, name)| *name);
    states.collect::<Vec<_>>().join(",")
}

/// The servers that an entry holds, with their services.
fn held(status: &Status) -> impl Iterator<Item = (&str, &ServerStatus)> {
    let services = status.services.iter();
    services
        .flat_map(|service| service.servers.iter().map(|server| (service.name.as_str(), server)))
}

fn servers(fleet: &Fleet) -> String {
    let mut rows: Vec<_> = fleet.members.iter().flat_map(rows).collect();
    rows.sort_by_key(|(entry, service, server)| (*service, server.vm.as_str(), *entry));
    let mut table = Table::new([
        left("SERVICE"),
        left("SERVER"),
        left("DOMAIN"),
        left("ENTRY"),
        left("STATE"),
        right("LIMIT"),
        right("IN FLIGHT"),
        right("LATENCY MS"),
        left("WHY"),
    ]);
    for (entry, service, server) in rows {
        table.row([
            service,
            &server.vm,
            &server.domain,
            entry,
            &server.state,
            &server.limit.to_string(),
            &server.in_flight.to_string(),
            &format::latency(server.latency_us),
            &server.why,
        ]);
    }
    table.to_string()
}

fn rows(member: &Member) -> impl Iterator<Item = (&str, &str, &ServerStatus)> {
    let entry = member.status.vm.as_str();
    held(&member.status).map(move |(service, server)| (entry, service, server))
}
