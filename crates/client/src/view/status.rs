//! Output of the entries and the servers that they hold.

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
use crate::fleet::ReachableEntry;
use jackdawpin_wire::ServerStatus;
use jackdawpin_wire::Status;

/// Tables of entries and servers, then the unreachable entries and warnings.
pub fn text(fleet: &Fleet, findings: &[Finding]) -> String {
    let problems = problems(fleet, findings);
    if fleet.reachable.is_empty() {
        return problems.trim_start().to_owned();
    }
    format!("{}\n{}{problems}", entry_table(fleet), server_table(fleet))
}

/// One JSON document with the status messages, each with the address of its entry.
pub fn json(fleet: &Fleet, findings: &[Finding]) -> String {
    value::pretty(&json!({
        "entries": fleet.reachable.iter().map(entry_json).collect::<Value>(),
        "unreachable": unreachable_json(&fleet.unreachable),
        "warnings": findings_json(findings),
    }))
}

fn entry_json(entry: &ReachableEntry) -> Value {
    let mut value = value::message(&entry.status);
    if let Some(fields) = value.as_object_mut() {
        fields.insert("address".to_owned(), entry.address.clone().into());
    }
    value
}

fn entry_table(fleet: &Fleet) -> String {
    let mut table = Table::new([
        text_column("ENTRY"),
        text_column("DOMAIN"),
        text_column("STATE"),
        text_column("CONFIGURATION"),
        text_column("VM LIST"),
        number_column("PLATFORM"),
        number_column("SERVERS"),
        number_column("LIMIT"),
        number_column("IN FLIGHT"),
        number_column("UPTIME"),
    ]);
    for entry in &fleet.reachable {
        let status = &entry.status;
        let held = || held_servers(status).map(|(_, server)| server);
        let platform_age =
            status.platform_age_ms.map_or_else(|| "never".to_owned(), format::duration);
        table.add_row([
            status.vm.clone(),
            status.domain.clone(),
            entry_states(status),
            format::version(status.config),
            format::version(status.vms),
            platform_age,
            held().count().to_string(),
            held().map(|server| u64::from(server.limit)).sum::<u64>().to_string(),
            held().map(|server| u64::from(server.in_flight)).sum::<u64>().to_string(),
            format::duration(status.uptime_ms),
        ]);
    }
    table.to_string()
}

fn entry_states(status: &Status) -> String {
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

/// The servers that an entry holds, each with the name of its service.
fn held_servers(status: &Status) -> impl Iterator<Item = (&str, &ServerStatus)> {
    let services = status.services.iter();
    services
        .flat_map(|service| service.servers.iter().map(|server| (service.name.as_str(), server)))
}

fn server_table(fleet: &Fleet) -> String {
    let mut rows: Vec<_> = fleet.reachable.iter().flat_map(server_rows).collect();
    rows.sort_by_key(|(entry, service, server)| (*service, server.vm.as_str(), *entry));
    let mut table = Table::new([
        text_column("SERVICE"),
        text_column("SERVER"),
        text_column("DOMAIN"),
        text_column("ENTRY"),
        text_column("STATE"),
        number_column("LIMIT"),
        number_column("IN FLIGHT"),
        number_column("LATENCY MS"),
        text_column("WHY"),
    ]);
    for (entry, service, server) in rows {
        table.add_row([
            service,
            &server.vm,
            &server.domain,
            entry,
            &server.state,
            &server.limit.to_string(),
            &server.in_flight.to_string(),
            &format::latency_ms(server.latency_us),
            &server.why,
        ]);
    }
    table.to_string()
}

fn server_rows(entry: &ReachableEntry) -> impl Iterator<Item = (&str, &str, &ServerStatus)> {
    let vm = entry.status.vm.as_str();
    held_servers(&entry.status).map(move |(service, server)| (vm, service, server))
}
