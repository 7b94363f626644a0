use std::collections::VecDeque;
use std::sync::Arc;

use tokio::sync::oneshot;

use super::Capacity;
use super::HeldDiff;
use super::Lead;
use super::Permit;
use super::Place;
use super::ProbeCandidate;
use super::ServerChange;
use super::limit::Kind;
use super::limit::Sample;
use super::load_report::LoadReport;
use super::server::Server;
use super::server::ServerSpec;
use super::server::ServerStatus;
use crate::name;
use crate::time::Instant;

/// Peers that may wait for a vacancy at once. One entry has one watch for a service at most, so
/// this is above the number of entries of a region.
const MAX_WATCHERS: usize = 512;

/// A request that waits for a place.
#[derive(Debug)]
pub(super) struct Waiter {
    idempotent: bool,
    sender: oneshot::Sender<Place>,
}

impl Waiter {
    pub(super) fn new(idempotent: bool, sender: oneshot::Sender<Place>) -> Self {
        Self { idempotent, sender }
    }
}

/// What the lock of a pool protects.
#[derive(Debug, Default)]
pub(super) struct State {
    servers: Vec<Server>,
    /// Servers that are no longer held and have requests of this entry in flight. If one is held
    /// again, these still count.
    retired: Vec<Server>,
    next_key: u64,
    /// The latest time that any caller named, for changes that come without one.
    latest: Instant,
    waiting: VecDeque<Waiter>,
    watchers: VecDeque<oneshot::Sender<u32>>,
}

impl State {
    pub(super) fn set_held(&mut self, now: Instant, specs: &[ServerSpec]) -> HeldDiff {
        let mut held = HeldDiff::default();
        self.retire(now, specs, &mut held);
        for spec in specs {
            if let Some(server) = self.servers.iter_mut().find(|server| same(spec, &server.spec)) {
                match server.update(spec) {
                    Some(true) => held.included.push(spec.vm.clone()),
                    Some(false) => held.excluded.extend(excluded(spec)),
                    None => {}
                }
                continue;
            }
            let server = self.gain(spec);
            self.servers.push(server);
            held.added.push(spec.vm.clone());
            held.excluded.extend(excluded(spec));
        }
        self.assign_free(now);
        held
    }

    /// Moves servers that are no longer held to the retired ones while they have work in flight.
    fn retire(&mut self, now: Instant, specs: &[ServerSpec], held: &mut HeldDiff) {
        let is_held = |server: &Server| specs.iter().any(|spec| same(spec, &server.spec));
        let (kept, lost): (Vec<_>, Vec<_>) = self.servers.drain(..).partition(is_held);
        self.servers = kept;
        held.removed.extend(lost.iter().map(|server| server.spec.vm.clone()));
        self.retired.extend(lost);
        self.retired.retain(|server| server.taken(now) > 0);
    }

    /// A server that is held from now on, with what this entry still has in flight at it.
    fn gain(&mut self, spec: &ServerSpec) -> Server {
        if let Some(index) = self.retired.iter().position(|server| same(spec, &server.spec)) {
            let mut server = self.retired.swap_remove(index);
            server.restart(spec);
            return server;
        }
        self.next_key += 1;
        Server::new(self.next_key, spec)
    }

    /// The server of a permit, which may no longer be held.
    fn owner(&mut self, permit: &Permit) -> Option<&mut Server> {
        let mut all = self.servers.iter_mut().chain(&mut self.retired);
        all.find(|server| server.key == permit.key)
    }

    pub(super) fn acquire(&mut self, now: Instant, idempotent: bool) -> Option<Permit> {
        // Time alone can free places, and those that wait come first.
        self.assign_free(now);
        if self.waiting.is_empty() { self.take(now, idempotent) } else { None }
    }

    pub(super) fn confirm(&mut self, now: Instant, permit: &mut Permit) -> bool {
        let Some(server) = self.servers.iter().find(|server| server.key == permit.key) else {
            return false;
        };
        permit.until = server.work_until();
        server.bears_permit(now)
    }

    fn take(&mut self, now: Instant, idempotent: bool) -> Option<Permit> {
        // Work that must not run twice goes to warm servers first: a cold one is more likely to
        // fail after it has started.
        let best = self
            .servers
            .iter_mut()
            .filter(|server| server.free(now) > 0)
            .min_by_key(|server| (!idempotent && !server.is_warm(), server.score(now)))?;
        Some(best.take())
    }

    pub(super) fn acquire_at(&mut self, now: Instant, vm: &name::Vm) -> Option<Permit> {
        let server = self.server(vm)?;
        server.bears_probe(now).then(|| server.take())
    }

    pub(super) fn wait(&mut self, now: Instant, waiter: Waiter, queue: u32) -> bool {
        self.waiting.retain(|waiter| !waiter.sender.is_closed());
        let full = self.waiting.len() >= queue as usize;
        if !full {
            self.waiting.push_back(waiter);
            // A place may have become free since the request found none.
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
        let server = self.owner(&permit)?;
        server.release();
        if matches!(sample.kind, Kind::Broken | Kind::Timeout) {
            server.linger(now);
        }
        let change = server.observe(now, sample);
        if sample.report.is_some_and(|report| report.in_flight == 0) {
            server.idle();
        }
        let notice = change.map(|change| ServerChange { vm: permit.vm, change });
        self.assign_free(now);
        notice
    }

    pub(super) fn abandon(&mut self, now: Instant, permit: Permit) {
        if let Some(server) = self.owner(&permit) {
            server.release();
            server.linger(now);
        }
    }

    pub(super) fn release(&mut self, now: Instant, permit: Permit) {
        self.free_slot(permit);
        self.assign_free(now);
    }

    pub(super) fn return_place(&mut self, permit: Permit) {
        // A place is checked again before it is used, so the latest known time is good enough.
        let latest = self.latest;
        self.release(latest, permit);
    }

    pub(super) fn record_probe(
        &mut self,
        now: Instant,
        vm: &name::Vm,
        report: LoadReport,
    ) -> Option<ServerChange> {
        let server = self.server(vm)?;
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
        let change = self.server(vm)?.set_claim(now, until);
        self.assign_free(now);
        change
    }

    pub(super) fn needing_claim(&self) -> Vec<name::Vm> {
        let needed = |server: &&Server| server.needs_claim() && server.spec.out_reason.is_none();
        self.servers.iter().filter(needed).map(|server| server.spec.vm.clone()).collect()
    }

    pub(super) fn probe_candidates(&self) -> Vec<ProbeCandidate> {
        let probed = |server: &Server| ProbeCandidate {
            vm: server.spec.vm.clone(),
            address: server.spec.address,
            probes_per_minute: server.spec.policy.probes_per_minute,
            reported_at: server.limit.reported_at(),
        };
        self.servers.iter().filter(|server| server.spec.out_reason.is_none()).map(probed).collect()
    }

    pub(super) fn capacity(&self, now: Instant) -> Capacity {
        let limit = self.servers.iter().map(|server| server.allowed(now)).sum();
        Capacity { limit, free: self.free(now) }
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiting.iter().filter(|waiter| !waiter.sender.is_closed()).count()
    }

    pub(super) fn statuses(&self, now: Instant) -> Vec<ServerStatus> {
        self.servers.iter().map(|server| server.status(now)).collect()
    }

    pub(super) fn lead(&mut self, lead: &Lead) -> bool {
        while let Some(waiter) = self.waiting.pop_front() {
            if waiter.sender.send(Place::Remote(lead.clone())).is_ok() {
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
        self.watchers.retain(|watcher| !watcher.is_closed());
        if self.watchers.len() < MAX_WATCHERS {
            self.watchers.push_back(sender);
        }
        Err(receiver)
    }

    /// Hands free places to waiting requests, then tells peers about what is left, one peer for
    /// each free place, so that a single place does not attract them all.
    pub(super) fn assign_free(&mut self, now: Instant) {
        self.latest = self.latest.max(now);
        self.serve_waiting(now);
        if self.watchers.is_empty() || !self.waiting.is_empty() {
            return;
        }
        let mut free = self.free(now);
        while free > 0 {
            let Some(watcher) = self.watchers.pop_front() else {
                return;
            };
            if watcher.send(1).is_ok() {
                free -= 1;
            }
        }
    }

    fn serve_waiting(&mut self, now: Instant) {
        while let Some(waiter) = self.waiting.front() {
            if waiter.sender.is_closed() {
                self.waiting.pop_front();
                continue;
            }
            let idempotent = waiter.idempotent;
            let Some(permit) = self.take(now, idempotent) else {
                return;
            };
            let Some(waiter) = self.waiting.pop_front() else {
                return;
            };
            if let Err(Place::Local(permit)) = waiter.sender.send(Place::Local(permit)) {
                self.free_slot(permit);
            }
        }
    }

    fn free_slot(&mut self, permit: Permit) {
        if let Some(server) = self.owner(&permit) {
            server.release();
        }
    }

    fn free(&self, now: Instant) -> u32 {
        self.servers.iter().map(|server| server.free(now)).sum()
    }

    fn server(&mut self, vm: &name::Vm) -> Option<&mut Server> {
        self.servers.iter_mut().find(|server| server.spec.vm == *vm)
    }
}

/// The server and why it receives no new work, if so.
fn excluded(spec: &ServerSpec) -> Option<(name::Vm, Arc<str>)> {
    spec.out_reason.clone().map(|why| (spec.vm.clone(), why))
}

/// A VM that changed its address is another server.
fn same(one: &ServerSpec, other: &ServerSpec) -> bool {
    one.vm == other.vm && one.address == other.address
}
