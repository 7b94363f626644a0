use std::cmp::Reverse;

use smallvec::SmallVec;

use super::Heartbeat;
use super::PeerStatus;
use super::Peers;
use super::SILENT_AFTER;
use crate::holder::intent::DocumentVersion;
use crate::holder::member::VmState;
use crate::name;
use crate::time::Instant;

/// The capacity that a peer has for a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerCapacity {
    /// Name of its VM.
    pub vm: name::Vm,
    /// Free slots: requests that it could dispatch immediately.
    pub free: u32,
    /// Sum of the concurrency limits of the servers that it holds for the service.
    pub limit: u32,
}

/// The contact of this entry with the other live entries of the VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Connectivity {
    /// Number of other live entries on the list.
    pub peers: usize,
    /// How many of them were heard since the start.
    pub heard: usize,
    /// How many of them have neither sent a heartbeat nor been sent one since the start.
    pub untried: usize,
    /// The latest time such that a majority of the live entries on the list, including this one,
    /// was heard then or later. `None` if there are no others, or no majority was heard.
    pub majority_heard_at: Option<Instant>,
}

impl Peers {
    /// Whether the entry may hold servers: it is live on the VM list, not leaving and not silent.
    /// Within the first [`SILENT_AFTER`] of this process, an entry that was not heard yet counts as
    /// available, so that an entry that starts does not take over all servers. This entry itself is
    /// available while it is live on the list.
    pub fn available(&self, name: &name::Vm, now: Instant) -> bool {
        let state = self.state.lock();
        if *name == self.own {
            return state.own_listed_state == Some(VmState::Live);
        }
        state.peers.get(name).is_some_and(|peer| peer.available(now, self.start))
    }

    /// All entries that may hold servers, by name; see [`Peers::available`].
    pub fn all_available(&self, now: Instant) -> Vec<name::Vm> {
        let state = self.state.lock();
        let own = (state.own_listed_state == Some(VmState::Live)).then(|| self.own.clone());
        let others = state.peers.iter().filter(|(_, peer)| peer.available(now, self.start));
        let mut names: Vec<_> = others.map(|(name, _)| name.clone()).chain(own).collect();
        names.sort_unstable();
        names
    }

    /// Peers that serve callers and have free slots for the service, those with the most first.
    /// Peers with equally many are ordered differently on each entry.
    pub fn with_free_slots(&self, service: &str, now: Instant) -> SmallVec<[PeerCapacity; 16]> {
        self.capacities(service, now, |capacity| capacity.free > 0)
    }

    /// Peers that serve callers and hold servers of the service, whether or not they have free
    /// slots.
    pub fn holders(&self, service: &str, now: Instant) -> SmallVec<[PeerCapacity; 16]> {
        self.capacities(service, now, |capacity| capacity.limit > 0)
    }

    /// Live peers that have a configuration later than `own_version`, the latest first. Versions in
    /// `refused` are skipped: otherwise a document that this program refuses would be fetched again
    /// after each heartbeat.
    pub fn with_newer_config(
        &self,
        now: Instant,
        own_version: Option<DocumentVersion>,
        refused: &[DocumentVersion],
    ) -> SmallVec<[(name::Vm, DocumentVersion); 4]> {
        self.with_newer(now, own_version, refused, |heartbeat| heartbeat.config_version)
    }

    /// Live peers that have a VM list later than `own_version`; see [`Peers::with_newer_config`].
    pub fn with_newer_list(
        &self,
        now: Instant,
        own_version: Option<DocumentVersion>,
        refused: &[DocumentVersion],
    ) -> SmallVec<[(name::Vm, DocumentVersion); 4]> {
        self.with_newer(now, own_version, refused, |heartbeat| heartbeat.list_version)
    }

    /// The contact of this entry with the others.
    pub fn connectivity(&self) -> Connectivity {
        let state = self.state.lock();
        let others = state.peers.values().filter(|peer| peer.listed_state == Some(VmState::Live));
        let mut connectivity = Connectivity::default();
        let mut heard_at: SmallVec<[Instant; 32]> = SmallVec::new();
        for peer in others {
            connectivity.peers += 1;
            connectivity.untried += usize::from(!peer.tried);
            heard_at.extend(peer.last_heard);
        }
        drop(state);
        connectivity.heard = heard_at.len();
        heard_at.sort_unstable_by_key(|time| Reverse(*time));
        // This entry counts itself, so a majority needs this many of the others.
        let needed = connectivity.peers.div_ceil(2);
        connectivity.majority_heard_at = heard_at.get(needed.wrapping_sub(1)).copied();
        connectivity
    }

    /// The known state of all other entries, by name.
    pub fn statuses(&self) -> Vec<PeerStatus> {
        self.state.lock().peers.iter().map(|(name, peer)| peer.status(name)).collect()
    }

    fn with_newer(
        &self,
        now: Instant,
        own_version: Option<DocumentVersion>,
        refused: &[DocumentVersion],
        version: impl Fn(&Heartbeat) -> Option<DocumentVersion>,
    ) -> SmallVec<[(name::Vm, DocumentVersion); 4]> {
        let state = self.state.lock();
        let live = state.peers.iter().filter(|(_, peer)| peer.heard_within(now, SILENT_AFTER));
        let mut newer: SmallVec<[(u64, name::Vm, DocumentVersion); 4]> = live
            .filter_map(|(name, peer)| {
                let version = version(peer.heartbeat.as_ref()?)?;
                let wanted = Some(version) > own_version && !refused.contains(&version);
                wanted.then(|| (peer.tie_breaker, name.clone(), version))
            })
            .collect();
        drop(state);
        newer.sort_unstable_by_key(|(tie_breaker, _, version)| (Reverse(*version), *tie_breaker));
        newer.into_iter().map(|(_, name, version)| (name, version)).collect()
    }

    fn capacities(
        &self,
        service: &str,
        now: Instant,
        wanted: impl Fn(&PeerCapacity) -> bool,
    ) -> SmallVec<[PeerCapacity; 16]> {
        let state = self.state.lock();
        let serving = state.peers.iter().filter(|(_, peer)| peer.serves(now, self.start));
        let mut capacities: SmallVec<[(u64, PeerCapacity); 16]> = serving
            .filter_map(|(name, peer)| {
                let capacity = peer.heartbeat.as_ref()?.service_capacity(service)?;
                let (free, limit) = (capacity.free, capacity.limit);
                Some((peer.tie_breaker, PeerCapacity { vm: name.clone(), free, limit }))
            })
            .filter(|(_, capacity)| wanted(capacity))
            .collect();
        drop(state);
        capacities
            .sort_unstable_by_key(|(tie_breaker, capacity)| (Reverse(capacity.free), *tie_breaker));
        capacities.into_iter().map(|(_, capacity)| capacity).collect()
    }
}
