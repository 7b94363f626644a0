use std::io;
use std::io::Write;

use super::Context;
use crate::Exit;
use crate::entry_client::EntryClient;
use crate::fleet;
use crate::fleet::Endpoint;
use crate::fleet::Finding;
use crate::fleet::Fleet;
use crate::view::explain;
use crate::view::explain::ExplainedServer;
use jackdawpin_core::name;
use jackdawpin_wire::Explanation;
use jackdawpin_wire::ServerStatus;

/// Explanations, each with the VM name of the entry that gave it.
type Explanations = Vec<(String, Explanation)>;

/// Prints the values in force for a server.
pub(super) async fn run<C: EntryClient, O: Write, E: Write>(
    client: &C,
    service: &name::Service,
    server: &name::Vm,
    context: &mut Context<'_, O, E>,
) -> io::Result<Exit> {
    let mut fleet = context.discover(client).await;
    let explanations = request_explanations(client, service, server, &mut fleet).await;
    let findings = findings(service, server, &explanations, &fleet);
    // An entry with an older configuration will soon receive the newest one.
    let newest = explanations.iter().max_by_key(|(_, explanation)| explanation.config);
    let explained = ExplainedServer {
        explanation: newest.map(|(_, explanation)| explanation),
        holders: holders(service, server, &fleet),
    };
    let text = if context.is_json() {
        explain::json(&explained, &fleet, &findings)
    } else {
        explain::text(&explained, &fleet, &findings)
    };
    context.print(&text)?;
    context.finish(&fleet, &findings)
}

/// Requests the explanation of all entries. An entry that does not know the server gives none and
/// counts as reachable.
async fn request_explanations<C: EntryClient>(
    client: &C,
    service: &name::Service,
    server: &name::Vm,
    fleet: &mut Fleet,
) -> Explanations {
    let request = |client: C, endpoint: Endpoint| {
        let (service, server) = (service.clone(), server.clone());
        async move { client.explain(&endpoint.address, service.as_str(), server.as_str()).await }
    };
    let mut explanations = Vec::new();
    for (endpoint, answer) in fleet::request_all(client, fleet.endpoints(), request).await {
        match answer {
            Ok(explanation) => explanations.push((endpoint.vm.unwrap_or_default(), explanation)),
            Err(error) if error.is_not_found() => {}
            Err(error) => fleet.add_unreachable(endpoint, &error),
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
    let explanations_by_vm =
        explanations.iter().map(|(vm, explanation)| (vm.as_str(), explanation));
    findings.extend(fleet::holder_disagreement(explanations_by_vm));
    if explanations.is_empty() && !fleet.reachable.is_empty() {
        let (service, server) = (service.to_string(), server.to_string());
        findings.push(Finding::UnknownServer { service, server });
    }
    findings
}

/// The entries that hold the server, each with its VM name and the server's status there.
fn holders<'a>(
    service: &name::Service,
    server: &name::Vm,
    fleet: &'a Fleet,
) -> Vec<(&'a str, &'a ServerStatus)> {
    let mut holders = Vec::new();
    for status in fleet.reachable.iter().map(|entry| &entry.status) {
        let services =
            status.services.iter().filter(|candidate| candidate.name == service.as_str());
        let servers = services.flat_map(|service| &service.servers);
        let held = servers.filter(|candidate| candidate.vm == server.as_str());
        holders.extend(held.map(|held| (status.vm.as_str(), held)));
    }
    holders
}
