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

/// A peer with free places for a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerCapacity {
    /// Name of its VM.
    pub vm: name::Vm,
    /// Requests that it could dispatch at once.
    pub free: u32,
    /// Sum of the limits of the servers that it holds for the service.
    pub limit: u32,
}

/// How well this entry is in contact with the other live entries of the VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Connectivity {
    /// Number of other live entries on the list.
    pub peers: usize,
    /// How many of them were heard since the start.
    pub heard: usize,
    /// How many of them were neither heard nor tried since the start.
    pub untried: usize,
    /// The latest time such that a majority of the listed live entries, this one included, was
    /// heard then or later. `None` if there are no others.
    pub majority_heard_at: Option<Instant>,
}

impl Peers {
    /// Whether the entry may hold servers: it is live on the list, not leaving and not silent.
    /// Within the first [`SILENT_AFTER`] of this process, an entry that was not heard yet counts as
    /// available, so that a start does not move all servers to the entry that started. This entry
    /// is available while it is live on the list.
    pub fn available(&self, name: &name::Vm, now: Instant) -> bool {
        let state = self.state.lock();
        if *name == self.own {
            return state.own == Some(VmState::Live);
        }
        state.peers.get(name).is_some_and(|peer| peer.available(now, self.start))
    }

    /// All entries that may hold servers, by name; see [`Peers::available`].
    pub fn all_available(&self, now: Instant) -> Vec<name::Vm> {
        let state = self.state.lock();
        let own = (state.own == Some(VmState::Live)).then(|| self.own.clone());
        let others = state.peers.iter().filter(|(_, peer)| peer.available(now, self.start));
        let mut names: Vec<_> = others.map(|(name, _)| name.clone()).chain(own).collect();
        names.sort_unstable();
        names
    }

    /// Peers that serve callers and have free places for the service, those with the most first.
    /// Equally good peers have a different order on each entry.
    pub fn with_free_slots(&self, service: &str, now: Instant) -> SmallVec<[PeerCapacity; 16]> {
        self.rooms(service, now, |room| room.free > 0)
    }

    /// Peers that serve callers and hold servers of the service, whether or not they have free
    /// places.
    pub fn holders(&self, service: &str, now: Instant) -> SmallVec<[PeerCapacity; 16]> {
        self.rooms(service, now, |room| room.limit > 0)
    }

    /// Peers that have a configuration after `have`, the latest first. Places in `refused` are
    /// skipped: fetching a document that this program refuses again would repeat with each
    /// heartbeat.
    pub fn with_newer_config(
        &self,
        now: Instant,
        have: Option<DocumentVersion>,
        refused: &[DocumentVersion],
    ) -> SmallVec<[(name::Vm, DocumentVersion); 4]> {
        self.ahead(now, have, refused, |beat| beat.config_version)
    }

    /// Peers that have a VM list after `have`; see [`Peers::with_newer_config`].
    pub fn with_newer_list(
        &self,
        now: Instant,
        have: Option<DocumentVersion>,
        refused: &[DocumentVersion],
    ) -> SmallVec<[(name::Vm, DocumentVersion); 4]> {
        self.ahead(now, have, refused, |beat| beat.list_version)
    }

    /// How well this entry is in contact with the others.
    pub fn connectivity(&self) -> Connectivity {
        let state = self.state.lock();
        let others = state.peers.values().filter(|peer| peer.listing == Some(VmState::Live));
        let mut contact = Connectivity::default();
        let mut heard: SmallVec<[Instant; 32]> = SmallVec::new();
        for peer in others {
            contact.peers += 1;
            contact.untried += usize::from(!peer.tried);
            heard.extend(peer.heard);
        }
        drop(state);
        contact.heard = heard.len();
        heard.sort_unstable_by_key(|heard| Reverse(*heard));
        // This entry hears itself, so a majority needs this many of the others.
        let needed = contact.peers.div_ceil(2);
        contact.majority_heard_at = heard.get(needed.wrapping_sub(1)).copied();
        contact
    }

    /// What is known of all other entries, by name.
    pub fn statuses(&self) -> Vec<PeerStatus> {
        self.state.lock().peers.iter().map(|(name, peer)| peer.known(name)).collect()
    }

    fn ahead(
        &self,
        now: Instant,
        have: Option<DocumentVersion>,
        refused: &[DocumentVersion],
        order: impl Fn(&Heartbeat) -> Option<DocumentVersion>,
    ) -> SmallVec<[(name::Vm, DocumentVersion); 4]> {
        let state = self.state.lock();
        let heard = state.peers.iter().filter(|(_, peer)| peer.heard_within(now, SILENT_AFTER));
        let mut found: SmallVec<[(u64, name::Vm, DocumentVersion); 4]> = heard
            .filter_map(|(name, peer)| {
                let order = order(peer.beat.as_ref()?)?;
                let wanted = Some(order) > have && !refused.contains(&order);
                wanted.then(|| (peer.tie, name.clone(), order))
            })
            .collect();
        drop(state);
        found.sort_unstable_by_key(|(tie, _, order)| (Reverse(*order), *tie));
        found.into_iter().map(|(_, name, order)| (name, order)).collect()
    }

    fn rooms(
        &self,
        service: &str,
        now: Instant,
        wanted: impl Fn(&PeerCapacity) -> bool,
    ) -> SmallVec<[PeerCapacity; 16]> {
        let state = self.state.lock();
        let serving = state.peers.iter().filter(|(_, peer)| peer.serves(now, self.start));
        let mut rooms: SmallVec<[(u64, PeerCapacity); 16]> = serving
            .filter_map(|(name, peer)| {
                let capacity = peer.beat.as_ref()?.of(service)?;
                let (free, limit) = (capacity.free, capacity.limit);
                Some((peer.tie, PeerCapacity { vm: name.clone(), free, limit }))
            })
            .filter(|(_, room)| wanted(room))
            .collect();
        drop(state);
        rooms.sort_unstable_by_key(|(tie, room)| (Reverse(room.free), *tie));
        rooms.into_iter().map(|(_, room)| room).collect()
    }
}
