//! The state of a pool: its servers, its queue and the peers that wait for a vacancy.

use std::collections::VecDeque;
use std::sync::Arc;

use tokio::sync::oneshot;

use super::Capacity;
use super::Destination;
use super::HeldDiff;
use super::PeerEntry;
use super::Permit;
use super::ProbeCandidate;
use super::ServerChange;
use super::limit::AttemptResult;
use super::limit::Sample;
use super::load_report::LoadReport;
use super::server::Server;
use super::server::ServerSpec;
use super::server::ServerStatus;
use crate::name;
use crate::time::Instant;

/// Largest number of peers that wait for a vacancy at once. Each entry waits at most once per
/// service, and a region has fewer entries than this.
const MAX_VACANCY_WATCHERS: usize = 512;

/// A request that waits for a destination.
#[derive(Debug)]
pub(super) struct Waiter {
    idempotent: bool,
    sender: oneshot::Sender<Destination>,
}

impl Waiter {
    pub(super) fn new(idempotent: bool, sender: oneshot::Sender<Destination>) -> Self {
        Self { idempotent, sender }
    }
}

/// The part of a pool that its lock protects.
#[derive(Debug, Default)]
pub(super) struct State {
    servers: Vec<Server>,
    /// Servers that are no longer held and still have requests of this entry in flight, which
    /// count again if the server is held again.
    retired: Vec<Server>,
    /// The latest key given to a server.
    last_key: u64,
    /// The latest time passed to any method, for changes that come without a time.
    latest: Instant,
    waiting: VecDeque<Waiter>,
    vacancy_watchers: VecDeque<oneshot::Sender<u32>>,
}

impl State {
    pub(super) fn set_held(&mut self, now: Instant, specs: &[ServerSpec]) -> HeldDiff {
        let mut diff = HeldDiff::default();
        self.retire(now, specs, &mut diff);
        for spec in specs {
            if let Some(server) =
                self.servers.iter_mut().find(|server| same_server(spec, &server.spec))
            {
                match server.update(spec) {
                    Some(true) => diff.included.push(spec.vm.clone()),
                    Some(false) => diff.excluded.extend(exclusion(spec)),
                    None => {}
                }
                continue;
            }
            let server = self.new_server(spec);
            self.servers.push(server);
            diff.added.push(spec.vm.clone());
            diff.excluded.extend(exclusion(spec));
        }
        self.assign_free(now);
        diff
    }

    /// Removes servers that are no longer held, and retires those with requests in flight.
    fn retire(&mut self, now: Instant, specs: &[ServerSpec], diff: &mut HeldDiff) {
        let is_held = |server: &Server| specs.iter().any(|spec| same_server(spec, &server.spec));
        let (kept, removed): (Vec<_>, Vec<_>) = self.servers.drain(..).partition(is_held);
        self.servers = kept;
        diff.removed.extend(removed.iter().map(|server| server.spec.vm.clone()));
        self.retired.extend(removed);
        self.retired.retain(|server| server.total_in_flight(now) > 0);
    }

    /// Creates a newly held server, or takes it from the retired ones with its requests in flight.
    fn new_server(&mut self, spec: &ServerSpec) -> Server {
        if let Some(index) = self.retired.iter().position(|server| same_server(spec, &server.spec))
        {
            let mut server = self.retired.swap_remove(index);
            server.restart(spec);
            return server;
        }
        self.last_key += 1;
        Server::new(self.last_key, spec)
    }

    /// The server of a permit, which may no longer be held.
    fn server_of(&mut self, permit: &Permit) -> Option<&mut Server> {
        let mut all = self.servers.iter_mut().chain(&mut self.retired);
        all.find(|server| server.key == permit.key)
    }

    pub(super) fn acquire(&mut self, now: Instant, idempotent: bool) -> Option<Permit> {
        // Permits can become free by time alone, and waiting requests come first.
        self.assign_free(now);
        if self.waiting.is_empty() { self.issue_best(now, idempotent) } else { None }
    }

    pub(super) fn recheck(&mut self, now: Instant, permit: &mut Permit) -> bool {
        let Some(server) = self.servers.iter().find(|server| server.key == permit.key) else {
            return false;
        };
        permit.work_until = server.work_until();
        server.accepts_permit(now)
    }

    fn issue_best(&mut self, now: Instant, idempotent: bool) -> Option<Permit> {
        // Requests that are not idempotent go to warm servers first: an attempt at a cold one is
        // more likely to fail after it has started.
        let best =
            self.servers.iter_mut().filter(|server| server.free(now) > 0).min_by_key(|server| {
                (!idempotent && !server.is_warm(), server.expected_nanos(now))
            })?;
        Some(best.issue_permit())
    }

    pub(super) fn acquire_for_probe(&mut self, now: Instant, vm: &name::Vm) -> Option<Permit> {
        let server = self.held_server(vm)?;
        server.accepts_probe(now).then(|| server.issue_permit())
    }

    pub(super) fn enqueue(&mut self, now: Instant, waiter: Waiter, queue_limit: u32) -> bool {
        self.waiting.retain(|waiter| !waiter.sender.is_closed());
        let full = self.waiting.len() >= queue_limit as usize;
        if !full {
            self.waiting.push_back(waiter);
            // A permit may have become free since the request got none.
            self.assign_free(now);
        }
        !full
    }

    pub(super) fn finish(
        &mut self,
        now: Instant,
        permit: Permit,
        sample: &Sample,
    ) -> Option<ServerChange> {
        let server = self.server_of(&permit)?;
        server.release();
        if matches!(sample.result, AttemptResult::Broken | AttemptResult::Timeout) {
            server.add_orphaned_attempt(now);
        }
        let change = server.observe(now, sample);
        if sample.report.is_some_and(|report| report.in_flight == 0) {
            server.clear_orphaned_attempts();
        }
        let change = change.map(|change| ServerChange { vm: permit.vm, change });
        self.assign_free(now);
        change
    }

    pub(super) fn abandon(&mut self, now: Instant, permit: Permit) {
        if let Some(server) = self.server_of(&permit) {
            server.release();
            server.add_orphaned_attempt(now);
        }
    }

    pub(super) fn release(&mut self, now: Instant, permit: Permit) {
        self.free_permit(permit);
        self.assign_free(now);
    }

    pub(super) fn release_unused(&mut self, permit: Permit) {
        // A permit is checked again before it is used, so the latest known time is good enough.
        let latest = self.latest;
        self.release(latest, permit);
    }

    pub(super) fn record_probe(
        &mut self,
        now: Instant,
        vm: &name::Vm,
        report: LoadReport,
    ) -> Option<ServerChange> {
        let server = self.held_server(vm)?;
        let change = server.limit.observe_probe(now, report);
        self.assign_free(now);
        change.map(|change| ServerChange { vm: vm.clone(), change })
    }

    pub(super) fn set_claim(
        &mut self,
        now: Instant,
        vm: &name::Vm,
        until: Option<Instant>,
    ) -> Option<bool> {
        let change = self.held_server(vm)?.set_claim(now, until);
        self.assign_free(now);
        change
    }

    pub(super) fn needing_claim(&self) -> Vec<name::Vm> {
        let needs = |server: &&Server| server.needs_claim() && server.spec.out_reason.is_none();
        self.servers.iter().filter(needs).map(|server| server.spec.vm.clone()).collect()
    }

    pub(super) fn probe_candidates(&self) -> Vec<ProbeCandidate> {
        let candidate = |server: &Server| ProbeCandidate {
            vm: server.spec.vm.clone(),
            address: server.spec.address,
            probes_per_minute: server.spec.policy.probes_per_minute,
            reported_at: server.limit.reported_at(),
        };
        self.servers
            .iter()
            .filter(|server| server.spec.out_reason.is_none())
            .map(candidate)
            .collect()
    }

    pub(super) fn capacity(&self, now: Instant) -> Capacity {
        let limit = self.servers.iter().map(|server| server.usable_limit(now)).sum();
        Capacity { limit, free: self.free(now) }
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiting.iter().filter(|waiter| !waiter.sender.is_closed()).count()
    }

    pub(super) fn statuses(&self, now: Instant) -> Vec<ServerStatus> {
        self.servers.iter().map(|server| server.status(now)).collect()
    }

    pub(super) fn assign_peer(&mut self, peer: &PeerEntry) -> bool {
        while let Some(waiter) = self.waiting.pop_front() {
            if waiter.sender.send(Destination::Peer(peer.clone())).is_ok() {
                return true;
            }
        }
        false
    }

    pub(super) fn vacancy(&mut self, now: Instant) -> Result<u32, oneshot::Receiver<u32>> {
        self.assign_free(now);
        let free = self.free(now);
        if free > 0 {
            return Ok(free);
        }
        let (sender, receiver) = oneshot::channel();
        self.vacancy_watchers.retain(|watcher| !watcher.is_closed());
        if self.vacancy_watchers.len() < MAX_VACANCY_WATCHERS {
            self.vacancy_watchers.push_back(sender);
        }
        Err(receiver)
    }

    /// Assigns free permits to waiting requests, then notifies one waiting peer per permit that is
    /// left, so that a single permit does not attract all peers.
    pub(super) fn assign_free(&mut self, now: Instant) {
        self.latest = self.latest.max(now);
        self.assign_to_waiting(now);
        if self.vacancy_watchers.is_empty() || !self.waiting.is_empty() {
            return;
        }
        let mut free = self.free(now);
        while free > 0 {
            let Some(watcher) = self.vacancy_watchers.pop_front() else {
                return;
            };
            if watcher.send(1).is_ok() {
                free -= 1;
            }
        }
    }

    fn assign_to_waiting(&mut self, now: Instant) {
        while let Some(waiter) = self.waiting.front() {
            if waiter.sender.is_closed() {
                self.waiting.pop_front();
                continue;
            }
            let idempotent = waiter.idempotent;
            let Some(permit) = self.issue_best(now, idempotent) else {
                return;
            };
            let Some(waiter) = self.waiting.pop_front() else {
                return;
            };
            if let Err(Destination::Server(permit)) =
                waiter.sender.send(Destination::Server(permit))
            {
                self.free_permit(permit);
            }
        }
    }

    fn free_permit(&mut self, permit: Permit) {
        if let Some(server) = self.server_of(&permit) {
            server.release();
        }
    }

    fn free(&self, now: Instant) -> u32 {
        self.servers.iter().map(|server| server.free(now)).sum()
    }

    fn held_server(&mut self, vm: &name::Vm) -> Option<&mut Server> {
        self.servers.iter_mut().find(|server| server.spec.vm == *vm)
    }
}

/// The server and why it receives no new work, if so.
fn exclusion(spec: &ServerSpec) -> Option<(name::Vm, Arc<str>)> {
    spec.out_reason.clone().map(|why| (spec.vm.clone(), why))
}

/// A VM that changed its address is another server.
fn same_server(one: &ServerSpec, other: &ServerSpec) -> bool {
    one.vm == other.vm && one.address == other.address
}
