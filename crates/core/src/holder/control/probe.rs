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

/// Time between two looks at which probes are due.
const INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for the answer to a probe.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Age of a report below which a server needs no probe. Answers carry reports for nothing.
const FRESH: Duration = Duration::from_secs(1);

/// The probe budgets of the held servers.
#[derive(Debug, Default)]
pub(super) struct Probes {
    budgets: HashMap<Target, Account>,
    /// Probes sent since the start, by service.
    sent: HashMap<name::Service, u64>,
}

#[derive(Debug)]
struct Account {
    budget: ProbeBudget,
    sent: u64,
}

struct Due {
    route: Arc<Route>,
    target: Target,
    address: SocketAddr,
}

impl<O: Ports> Control<O> {
    /// Probes quiet servers, within the budget of each.
    pub(super) async fn probing(&self) {
        loop {
            let next = self.clock().now() + INTERVAL;
            self.send_probes().await;
            self.clock().sleep_until(next).await;
        }
    }

    /// Sends the probes that are due.
    pub async fn send_probes(&self) {
        let due = self.due();
        join_all(due.iter().map(|due| self.probe_one(due))).await;
    }

    /// Probes sent to a server since it is held.
    pub fn server_probes_sent(&self, target: &Target) -> u64 {
        self.probes.lock().budgets.get(target).map_or(0, |account| account.sent)
    }

    /// Probes sent to servers of a service since the start.
    pub fn service_probes_sent(&self, service: &str) -> u64 {
        self.probes.lock().sent.get(service).copied().unwrap_or(0)
    }

    fn due(&self) -> Vec<Due> {
        let now = self.clock().now();
        let mut due = Vec::new();
        let mut seen = Vec::new();
        for (service, route) in self.tables.routes().iter() {
            for server in route.pool().probe_candidates() {
                let target = Target { service: service.clone(), server: server.vm };
                if self.spend(now, &target, server.probes_per_minute, server.reported_at) {
                    let (route, address) = (route.clone(), server.address);
                    due.push(Due { route, target: target.clone(), address });
                }
                seen.push(target);
            }
        }
        self.probes.lock().budgets.retain(|target, _| seen.contains(target));
        due
    }

    fn spend(&self, now: Instant, target: &Target, limit: u32, reported: Option<Instant>) -> bool {
        let random = self.ports.random();
        let mut probes = self.probes.lock();
        let account = probes
            .budgets
            .entry(target.clone())
            .or_insert_with(|| Account { budget: ProbeBudget::new(now, limit, random), sent: 0 });
        account.budget.set_limit(now, limit, random);
        let spent = account.budget.is_due(now, reported, FRESH) && account.budget.try_take(now);
        account.sent += u64::from(spent);
        *probes.sent.entry(target.service.clone()).or_default() += u64::from(spent);
        spent
    }

    async fn probe_one(&self, due: &Due) {
        let pool = due.route.pool();
        // A probe counts as load, so it takes a place. Without a free one the server is busy, and
        // its answers carry reports.
        let Some(permit) = pool.acquire_for_probe(self.clock().now(), &due.target.server) else {
            return;
        };
        let report = self.ports.upstream().probe(due.address, TIMEOUT).await;
        let now = self.clock().now();
        pool.release(now, permit);
        let Some(report) = report else {
            return;
        };
        if let Some(notice) = pool.record_probe(now, &due.target.server, report) {
            self.tables.record_server_change(&self.journal(), &due.target.service, notice);
        }
    }
}
