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

/// Largest number of peers in the table, far above the number of entries of any fleet. It bounds
/// the memory that heartbeats under invented names can take.
pub const MAX_PEERS: usize = 1024;

/// If the table was not used for this long, the process was suspended. [`Peers::tick`] uses it
/// every second.
pub const SUSPENDED_AFTER: Duration = Duration::from_secs(2);

/// How long after a suspension a heartbeat request does not prove that its sender is live, because
/// it may have waited in a socket since before the suspension. Responses count immediately, and the
/// next heartbeat of a live peer is due within a second.
pub const RESUME_GRACE: Duration = Duration::from_secs(1);

#[derive(Debug)]
pub(super) struct State {
    /// When the table was last used.
    last_used: Instant,
    /// End of the latest suspension of this process.
    resumed_at: Option<Instant>,
    /// State of this entry on the VM list; `None` if it is not on the list.
    pub own_listed_state: Option<VmState>,
    pub peers: BTreeMap<name::Vm, Peer>,
}

/// The table of the other entries, shared by all workers.
#[derive(Debug)]
pub struct Peers {
    pub(super) own: name::Vm,
    /// Seed of [`Peer::tie_breaker`], different on each entry.
    tie_breaker_seed: u64,
    pub(super) start: Instant,
    pub(super) state: Mutex<State>,
}

impl Peers {
    /// Creates a table for the entry `own`, whose process started at `start`.
    pub fn new(own: name::Vm, start: Instant) -> Self {
        let tie_breaker_seed = xxh3_64(own.as_str().as_bytes());
        let state = State {
            last_used: start,
            resumed_at: None,
            own_listed_state: None,
            peers: BTreeMap::new(),
        };
        Self { own, tie_breaker_seed, start, state: Mutex::new(Rank::Members, state) }
    }

    /// Name of this entry.
    pub fn own(&self) -> &name::Vm {
        &self.own
    }

    /// Updates the entries from the VM list in force. Entries that are no longer on the list are
    /// removed once they are silent.
    pub fn update_list(&self, now: Instant, list: &VmList) {
        // Collected before the lock is taken: the list has many more servers than entries.
        let entries = list.vms().iter().filter(|vm| matches!(vm.role, Role::Entry { .. }));
        let mut entries: BTreeMap<&name::Vm, VmState> =
            entries.map(|vm| (&vm.name, vm.state)).collect();
        let own_listed_state = entries.remove(&self.own);
        let mut state = self.state.lock();
        state.record_use(now);
        state.own_listed_state = own_listed_state;
        for (name, peer) in &mut state.peers {
            peer.set_listed_state(now, entries.remove(name));
        }
        for (name, listed_state) in entries {
            state.peer(self.tie_breaker_seed, name, now).set_listed_state(now, Some(listed_state));
        }
        state.remove_gone(now);
    }

    /// Merges a received heartbeat. Returns whether it replaced the known one; otherwise it is
    /// older and its content is ignored. Heartbeats under this entry's own name are ignored too:
    /// another VM was set up with the same name.
    pub fn merge_heartbeat(
        &self,
        now: Instant,
        from: &name::Vm,
        mut heartbeat: Heartbeat,
        kind: HeartbeatKind,
        journal: &impl Journal,
    ) -> bool {
        if *from == self.own {
            return false;
        }
        heartbeat.capacity.sort_unstable_by(|a, b| a.service.cmp(&b.service));
        let mut state = self.state.lock();
        state.record_use(now);
        let ran_at = state.sender_ran_at(now, kind);
        if state.peers.len() >= MAX_PEERS && !state.peers.contains_key(from) {
            return false;
        }
        let peer = state.peer(self.tie_breaker_seed, from, now);
        peer.tried = true;
        let accepted = peer.accepts(now, &heartbeat);
        // A late response still proves that its process ran when the request was sent.
        let same_process =
            peer.heartbeat.as_ref().is_some_and(|last| last.incarnation == heartbeat.incarnation);
        if accepted || (same_process && kind != HeartbeatKind::Request) {
            peer.last_heard = peer.last_heard.max(ran_at);
        }
        let event = peer.silence_event(from, now);
        let unused = if accepted { peer.heartbeat.replace(heartbeat) } else { Some(heartbeat) };
        drop(state);
        drop(unused);
        if let Some(event) = event {
            journal.record(event);
        }
        accepted
    }

    /// Records that a heartbeat was sent to the peer, whether or not it responded.
    pub fn mark_tried(&self, name: &name::Vm) {
        if let Some(peer) = self.state.lock().peers.get_mut(name) {
            peer.tried = true;
        }
    }

    /// Records events for peers that became silent. Must be called every second; a suspension of
    /// the process is detected as a longer interval.
    pub fn tick(&self, now: Instant, journal: &impl Journal) {
        let mut state = self.state.lock();
        state.record_use(now);
        state.remove_gone(now);
        let events: SmallVec<[Event; 4]> = state
            .peers
            .iter_mut()
            .filter_map(|(name, peer)| peer.silence_event(name, now))
            .collect();
        drop(state);
        for event in events {
            journal.record(event);
        }
    }

    /// Takes one free slot off the estimate for the peer, to which a request is forwarded.
    pub fn take_free_slot(&self, name: &name::Vm, service: &name::Service) {
        self.update_heartbeat(name, |heartbeat| {
            if let Some(capacity) = heartbeat.service_capacity(service.as_str()) {
                let free = capacity.free.saturating_sub(1);
                heartbeat.set_free(service, free);
            }
        });
    }

    /// Sets the free slots that the peer has for the service, as a reply of the peer states them.
    pub fn set_free_slots(&self, name: &name::Vm, service: &name::Service, free: u32) {
        self.update_heartbeat(name, |heartbeat| heartbeat.set_free(service, free));
    }

    fn update_heartbeat(&self, name: &name::Vm, update: impl FnOnce(&mut Heartbeat)) {
        let mut state = self.state.lock();
        if let Some(heartbeat) = state.peers.get_mut(name).and_then(|peer| peer.heartbeat.as_mut())
        {
            update(heartbeat);
        }
    }
}

impl State {
    /// Records that the process runs, and detects whether it was suspended.
    fn record_use(&mut self, now: Instant) {
        if now.since(self.last_used) > SUSPENDED_AFTER {
            self.resumed_at = Some(now);
        }
        self.last_used = self.last_used.max(now);
    }

    /// The time at which the sender of a heartbeat is known to have run; `None` if the heartbeat
    /// proves nothing.
    fn sender_ran_at(&self, now: Instant, kind: HeartbeatKind) -> Option<Instant> {
        match kind {
            HeartbeatKind::Response { request_sent_at } => Some(request_sent_at),
            HeartbeatKind::Request => {
                let fresh =
                    self.resumed_at.is_none_or(|resumed_at| now.since(resumed_at) > RESUME_GRACE);
                fresh.then_some(now)
            }
        }
    }

    /// The peer of the given name, which is added if it is new.
    fn peer(&mut self, tie_breaker_seed: u64, name: &name::Vm, now: Instant) -> &mut Peer {
        self.peers.entry(name.clone()).or_insert_with(|| {
            let tie_breaker = xxh3_64_with_seed(name.as_str().as_bytes(), tie_breaker_seed);
            Peer::new(now, tie_breaker)
        })
    }

    /// Removes peers that are neither on the VM list nor live. A peer that was added or left the
    /// list less than [`SILENT_AFTER`] ago stays.
    fn remove_gone(&mut self, now: Instant) {
        self.peers.retain(|_, peer| {
            let recent = now.since(peer.listed_since) <= SILENT_AFTER;
            peer.listed_state.is_some() || recent || peer.heard_within(now, SILENT_AFTER)
        });
    }
}
