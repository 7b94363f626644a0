use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;

use super::Control;
use crate::holder::flow::Route;
use crate::holder::lease::Target;
use crate::holder::port::Ports;
use crate::holder::port::Upstream;
use crate::holder::probe::ProbeBudget;
use crate::name;
use crate::port::Clock;
use crate::time::Instant;

/// Time between two checks for probes that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Age of the latest load report below which a server needs no probe. Answers carry reports without
/// extra cost.
const REPORT_FRESH_FOR: Duration = Duration::from_secs(1);

/// Budgets and counts of probes.
#[derive(Debug, Default)]
pub(super) struct Probes {
    /// Probes of the held servers.
    servers: HashMap<Target, ServerProbes>,
    /// Probes sent since the start, by service.
    sent: HashMap<name::Service, u64>,
}

#[derive(Debug)]
struct ServerProbes {
    budget: ProbeBudget,
    /// Probes sent since the server is held.
    sent: u64,
}

/// A probe to send.
struct DueProbe {
    route: Arc<Route>,
    target: Target,
    address: SocketAddr,
}

impl<O: Ports> Control<O> {
    /// Probes held servers without a recent load report, within the budget of each.
    pub(super) async fn run_probes(&self) {
        loop {
            let next = self.clock().now() + CHECK_INTERVAL;
            self.send_probes().await;
            self.clock().sleep_until(next).await;
        }
    }

    /// Sends the probes that are due.
    pub async fn send_probes(&self) {
        let due = self.due_probes();
        join_all(due.iter().map(|probe| self.send_probe(probe))).await;
    }

    /// Number of probes sent to a server since this entry holds it; 0 if it does not.
    pub fn server_probes_sent(&self, target: &Target) -> u64 {
        self.probes.lock().servers.get(target).map_or(0, |server| server.sent)
    }

    /// Number of probes sent to servers of a service since the start of this process.
    pub fn service_probes_sent(&self, service: &str) -> u64 {
        self.probes.lock().sent.get(service).copied().unwrap_or(0)
    }

    /// The probes that are due. Each takes a token of its server's budget.
    fn due_probes(&self) -> Vec<DueProbe> {
        let now = self.clock().now();
        let mut due = Vec::new();
        let mut candidates = Vec::new();
        for (service, route) in self.tables.routes().iter() {
            for server in route.pool().probe_candidates() {
                let target = Target { service: service.clone(), server: server.vm };
                if self.try_take_token(now, &target, server.probes_per_minute, server.reported_at) {
                    let (route, address) = (route.clone(), server.address);
                    due.push(DueProbe { route, target: target.clone(), address });
                }
                candidates.push(target);
            }
        }
        self.probes.lock().servers.retain(|target, _| candidates.contains(target));
        due
    }

    /// Takes a token for one probe if one is due. `last_report` is the time of the latest load
    /// report of the server.
    fn try_take_token(
        &self,
        now: Instant,
        target: &Target,
        probes_per_minute: u32,
        last_report: Option<Instant>,
    ) -> bool {
        let random = self.ports.random();
        let mut probes = self.probes.lock();
        let server = probes.servers.entry(target.clone()).or_insert_with(|| ServerProbes {
            budget: ProbeBudget::new(now, probes_per_minute, random),
            sent: 0,
        });
        server.budget.set_limit(now, probes_per_minute, random);
        let taken =
            server.budget.is_due(now, last_report, REPORT_FRESH_FOR) && server.budget.try_take(now);
        server.sent += u64::from(taken);
        *probes.sent.entry(target.service.clone()).or_default() += u64::from(taken);
        taken
    }

    async fn send_probe(&self, probe: &DueProbe) {
        let pool = probe.route.pool();
        // A probe is load, so it takes a slot. If there is no free slot, the server is busy, and
        // its answers carry reports.
        let Some(permit) = pool.acquire_for_probe(self.clock().now(), &probe.target.server) else {
            return;
        };
        let report = self.ports.upstream().probe(probe.address, PROBE_TIMEOUT).await;
        let now = self.clock().now();
        pool.release(now, permit);
        let Some(report) = report else {
            return;
        };
        if let Some(change) = pool.record_probe(now, &probe.target.server, report) {
            self.tables.record_server_change(&self.journal(), &probe.target.service, change);
        }
    }
}
