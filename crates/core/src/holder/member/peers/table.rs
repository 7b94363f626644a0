use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Heartbeat;
use super::HeartbeatKind;
use super::SILENT_AFTER;
use super::peer::Peer;
use crate::holder::event::Event;
use crate::holder::member::Role;
use crate::holder::member::VmList;
use crate::holder::member::VmState;
use crate::holder::port::Journal;
use crate::lock::Mutex;
use crate::lock::Rank;
use crate::name;
use crate::time::Instant;

/// Largest number of entries that are remembered, far above the entries of any fleet. It bounds the
/// memory that heartbeats under invented names can take.
pub const MAX_PEERS: usize = 1024;

/// If the table was not used for this long, the process was paused. [`Peers::tick`] is due every
/// second.
pub const SUSPENDED_AFTER: Duration = Duration::from_secs(2);

/// How long after a pause a heartbeat that came unasked does not count as heard: it may have waited
/// in a socket since before the pause. Answers count at once, and the next heartbeat is due within
/// a second.
pub const RESUME_GRACE: Duration = Duration::from_secs(1);

#[derive(Debug)]
pub(super) struct State {
    used: Instant,
    resumed: Option<Instant>,
    /// What the VM list says of this entry.
    pub own: Option<VmState>,
    pub peers: BTreeMap<name::Vm, Peer>,
}

/// The other entries, shared by all workers.
#[derive(Debug)]
pub struct Peers {
    pub(super) own: name::Vm,
    seed: u64,
    pub(super) start: Instant,
    pub(super) state: Mutex<State>,
}

impl Peers {
    /// Creates a table for the entry `own`, whose process started at `start`.
    pub fn new(own: name::Vm, start: Instant) -> Self {
        let seed = xxh3_64(own.as_str().as_bytes());
        let state = State { used: start, resumed: None, own: None, peers: BTreeMap::new() };
        Self { own, seed, start, state: Mutex::new(Rank::Members, state) }
    }

    /// Name of this entry.
    pub fn own(&self) -> &name::Vm {
        &self.own
    }

    /// Takes over which entries the VM list in force has. Entries that left the list are forgotten
    /// once they are silent.
    pub fn update_list(&self, now: Instant, list: &VmList) {
        // Collected before the lock is taken: the list has many more servers than entries.
        let entries = list.vms().iter().filter(|vm| matches!(vm.role, Role::Entry { .. }));
        let mut entries: BTreeMap<&name::Vm, VmState> =
            entries.map(|vm| (&vm.name, vm.state)).collect();
        let own = entries.remove(&self.own);
        let mut state = self.state.lock();
        state.used(now);
        state.own = own;
        for (name, peer) in &mut state.peers {
            peer.list(now, entries.remove(name));
        }
        for (name, listing) in entries {
            state.peer(self.seed, name, now).list(now, Some(listing));
        }
        state.forget(now);
    }

    /// Takes over a heartbeat. Returns whether it was newer than what is known; otherwise it is
    /// ignored. Heartbeats under this entry's own name are ignored too: another VM was set up with
    /// the same name.
    pub fn merge_heartbeat(
        &self,
        now: Instant,
        from: &name::Vm,
        mut beat: Heartbeat,
        origin: HeartbeatKind,
        journal: &impl Journal,
    ) -> bool {
        if *from == self.own {
            return false;
        }
        beat.capacity.sort_unstable_by(|a, b| a.service.cmp(&b.service));
        let mut state = self.state.lock();
        state.used(now);
        let alive = state.alive_at(now, origin);
        if state.peers.len() >= MAX_PEERS && !state.peers.contains_key(from) {
            return false;
        }
        let peer = state.peer(self.seed, from, now);
        peer.tried = true;
        let accepted = peer.accepts(now, &beat);
        // A late answer still proves that its process was alive when it was asked.
        let same = peer.beat.as_ref().is_some_and(|last| last.incarnation == beat.incarnation);
        if accepted || (same && origin != HeartbeatKind::Request) {
            peer.heard = peer.heard.max(alive);
        }
        let event = peer.change(from, now);
        let unused = if accepted { peer.beat.replace(beat) } else { Some(beat) };
        drop(state);
        drop(unused);
        if let Some(event) = event {
            journal.record(event);
        }
        accepted
    }

    /// A heartbeat to the peer was tried, whatever came of it.
    pub fn mark_tried(&self, name: &name::Vm) {
        if let Some(peer) = self.state.lock().peers.get_mut(name) {
            peer.tried = true;
        }
    }

    /// Reports peers that became silent. Due every second; a pause of the process shows as a longer
    /// interval.
    pub fn tick(&self, now: Instant, journal: &impl Journal) {
        let mut state = self.state.lock();
        state.used(now);
        state.forget(now);
        let events: SmallVec<[Event; 4]> =
            state.peers.iter_mut().filter_map(|(name, peer)| peer.change(name, now)).collect();
        drop(state);
        for event in events {
            journal.record(event);
        }
    }

    /// A request was forwarded to the peer: it has one free place less.
    pub fn take_free_slot(&self, name: &name::Vm, service: &name::Service) {
        self.adjust(name, |beat| {
            if let Some(capacity) = beat.of(service.as_str()) {
                let free = capacity.free.saturating_sub(1);
                beat.set_free(service, free);
            }
        });
    }

    /// The peer answered how many free places it has for the service.
    pub fn set_free_slots(&self, name: &name::Vm, service: &name::Service, free: u32) {
        self.adjust(name, |beat| beat.set_free(service, free));
    }

    fn adjust(&self, name: &name::Vm, change: impl FnOnce(&mut Heartbeat)) {
        let mut state = self.state.lock();
        if let Some(beat) = state.peers.get_mut(name).and_then(|peer| peer.beat.as_mut()) {
            change(beat);
        }
    }
}

impl State {
    /// Notes that the process runs, and whether it was paused.
    fn used(&mut self, now: Instant) {
        if now.since(self.used) > SUSPENDED_AFTER {
            self.resumed = Some(now);
        }
        self.used = self.used.max(now);
    }

    /// The time at which the sender of a heartbeat must have been alive.
    fn alive_at(&self, now: Instant, origin: HeartbeatKind) -> Option<Instant> {
        match origin {
            HeartbeatKind::Response { request_sent_at: asked } => Some(asked),
            HeartbeatKind::Request => {
                let fresh = self.resumed.is_none_or(|resumed| now.since(resumed) > RESUME_GRACE);
                fresh.then_some(now)
            }
        }
    }

    /// The peer of the given name, which is added if it is new.
    fn peer(&mut self, seed: u64, name: &name::Vm, now: Instant) -> &mut Peer {
        self.peers.entry(name.clone()).or_insert_with(|| {
            let tie = xxh3_64_with_seed(name.as_str().as_bytes(), seed);
            Peer::new(now, tie)
        })
    }

    /// Forgets entries that are neither listed nor heard.
    fn forget(&mut self, now: Instant) {
        self.peers.retain(|_, peer| {
            let young = now.since(peer.since) <= SILENT_AFTER;
            peer.listing.is_some() || young || peer.heard_within(now, SILENT_AFTER)
        });
    }
}
