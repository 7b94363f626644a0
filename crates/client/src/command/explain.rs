use std::io;
use std::io::Write;

use super::Context;
use crate::Exit;
use crate::ask::Ask;
use crate::fleet;
use crate::fleet::Finding;
use crate::fleet::Fleet;
use crate::fleet::Place;
use crate::view::explain;
use crate::view::explain::Subject;
use jackdawpin_core::name;
use jackdawpin_wire::Explanation;
use jackdawpin_wire::ServerStatus;

/// Explanations with the names of the entries that gave them.
type Explanations = Vec<(String, Explanation)>;

/// Shows the values in force for a server.
pub(super) async fn run<A: Ask, O: Write, E: Write>(
    ask: &A,
    service: &name::Service,
    server: &name::Vm,
    context: &mut Context<'_, O, E>,
) -> io::Result<Exit> {
    let mut fleet = context.gather(ask).await;
    let explanations = collect(ask, service, server, &mut fleet).await;
    let findings = findings(service, server, &explanations, &fleet);
    // An entry with an older configuration is about to get the newer one.
    let newest = explanations.iter().max_by_key(|(_, explanation)| explanation.config);
    let subject = Subject {
        explanation: newest.map(|(_, explanation)| explanation),
        holders: holders(service, server, &fleet),
    };
    let text = if context.is_json() {
        explain::json(&subject, &fleet, &findings)
    } else {
        explain::text(&subject, &fleet, &findings)
    };
    context.print(&text)?;
    context.finish(&fleet, &findings)
}

/// Asks all entries; one that does not know the server gives no explanation and counts as
/// reachable.
async fn collect<A: Ask>(
    ask: &A,
    service: &name::Service,
    server: &name::Vm,
    fleet: &mut Fleet,
) -> Explanations {
    let question = |ask: A, place: Place| {
        let (service, server) = (service.clone(), server.clone());
        async move { ask.explain(&place.address, service.as_str(), server.as_str()).await }
    };
    let mut explanations = Vec::new();
    for (place, answer) in fleet::all(ask, fleet.places(), question).await {
        match answer {
            Ok(explanation) => explanations.push((place.vm.unwrap_or_default(), explanation)),
            Err(error) if error.is_not_found() => {}
            Err(error) => fleet.lose(place, &error),
        }
    }
    explanations
}

fn findings(
    service: &name::Service,
    server: &name::Vm,
    explanations: &Explanations,
    fleet: &Fleet,
) -> Vec<Finding> {
    let mut findings = fleet::findings(fleet);
    let views = explanations.iter().map(|(vm, explanation)| (vm.as_str(), explanation));
    findings.extend(fleet::explanation_findings(views));
    if explanations.is_empty() && !fleet.members.is_empty() {
        let (service, server) = (service.to_string(), server.to_string());
        findings.push(Finding::UnknownServer { service, server });
    }
    findings
}

fn holders<'a>(
    service: &name::Service,
    server: &name::Vm,
    fleet: &'a Fleet,
) -> Vec<(&'a str, &'a ServerStatus)> {
    let mut holders = Vec::new();
    for status in fleet.members.iter().map(|member| &member.status) {
        let services = status.services.iter().filter(|found| found.name == service.as_str());
        let servers = services.flat_map(|found| &found.servers);
        let held = servers.filter(|found| found.vm == server.as_str());
        holders.extend(held.map(|held| (status.vm.as_str(), held)));
    }
    holders
}
