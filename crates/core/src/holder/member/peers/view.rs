use std::cmp::Reverse;

use smallvec::SmallVec;

use super::Heartbeat;
use super::Known;
use super::Peers;
use super::SILENT_AFTER;
use crate::holder::intent::Order;
use crate::holder::member::State as Listing;
use crate::name;
use crate::time::Instant;

/// A peer with free places for a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Room {
    /// Name of its VM.
    pub vm: name::Vm,
    /// Requests that it could dispatch at once.
    pub free: u32,
    /// Sum of the limits of the servers that it holds for the service.
    pub limit: u32,
}

/// How well this entry is in contact with the other live entries of the VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Contact {
    /// Number of other live entries on the list.
    pub others: usize,
    /// How many of them were heard since the start.
    pub met: usize,
    /// How many of them were neither heard nor tried since the start.
    pub untried: usize,
    /// The latest time such that a majority of the listed live entries, this one included, was heard
    /// then or later. `None` if there are no others.
    pub most_heard: Option<Instant>,
}

impl Peers {
    /// Whether the entry may hold servers: it is live on the list, not leaving and not silent.
    /// Within the first [`SILENT_AFTER`] of this process, an entry that was not heard yet counts as
    /// available, so that a start does not move all servers to the entry that started. This entry
    /// is available while it is live on the list.
    pub fn available(&self, name: &name::Vm, now: Instant) -> bool {
        let state = self.state.lock();
        if *name == self.own {
            return state.own == Some(Listing::Live);
        }
        state.peers.get(name).is_some_and(|peer| peer.available(now, self.start))
    }

    /// All entries that may hold servers, by name; see [`Peers::available`].
    pub fn all_available(&self, now: Instant) -> Vec<name::Vm> {
        let state = self.state.lock();
        let own = (state.own == Some(Listing::Live)).then(|| self.own.clone());
        let others = state.peers.iter().filter(|(_, peer)| peer.available(now, self.start));
        let mut names: Vec<_> = others.map(|(name, _)| name.clone()).chain(own).collect();
        names.sort_unstable();
        names
    }

    /// Peers that serve callers and have free places for the service, those with the most first.
    /// Equally good peers have a different order on each entry.
    pub fn capacity(&self, service: &str, now: Instant) -> SmallVec<[Room; 16]> {
        self.rooms(service, now, |room| room.free > 0)
    }

    /// Peers that serve callers and hold servers of the service, whether or not they have free
    /// places.
    pub fn holding(&self, service: &str, now: Instant) -> SmallVec<[Room; 16]> {
        self.rooms(service, now, |room| room.limit > 0)
    }

    /// Peers that have a configuration after `have`, the latest first. Places in `refused` are
    /// skipped: fetching a document that this program refuses again would repeat with each
    /// heartbeat.
    pub fn ahead_config(
        &self,
        now: Instant,
        have: Option<Order>,
        refused: &[Order],
    ) -> SmallVec<[(name::Vm, Order); 4]> {
        self.ahead(now, have, refused, |beat| beat.config)
    }

    /// Peers that have a VM list after `have`; see [`Peers::ahead_config`].
    pub fn ahead_list(
        &self,
        now: Instant,
        have: Option<Order>,
        refused: &[Order],
    ) -> SmallVec<[(name::Vm, Order); 4]> {
        self.ahead(now, have, refused, |beat| beat.list)
    }

    /// How well this entry is in contact with the others.
    pub fn contact(&self) -> Contact {
        let state = self.state.lock();
        let others = state.peers.values().filter(|peer| peer.listing == Some(Listing::Live));
        let mut contact = Contact::default();
        let mut heard: SmallVec<[Instant; 32]> = SmallVec::new();
        for peer in others {
            contact.others += 1;
            contact.untried += usize::from(!peer.tried);
            heard.extend(peer.heard);
        }
        drop(state);
        contact.met = heard.len();
        heard.sort_unstable_by_key(|heard| Reverse(*heard));
        // This entry hears itself, so a majority needs this many of the others.
        let needed = contact.others.div_ceil(2);
        contact.most_heard = heard.get(needed.wrapping_sub(1)).copied();
        contact
    }

    /// What is known of all other entries, by name.
    pub fn all(&self) -> Vec<Known> {
        self.state.lock().peers.iter().map(|(name, peer)| peer.known(name)).collect()
    }

    fn ahead(
        &self,
        now: Instant,
        have: Option<Order>,
        refused: &[Order],
        order: impl Fn(&Heartbeat) -> Option<Order>,
    ) -> SmallVec<[(name::Vm, Order); 4]> {
        let state = self.state.lock();
        let heard = state.peers.iter().filter(|(_, peer)| peer.heard_within(now, SILENT_AFTER));
        let mut found: SmallVec<[(u64, name::Vm, Order); 4]> = heard
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
        wanted: impl Fn(&Room) -> bool,
    ) -> SmallVec<[Room; 16]> {
        let state = self.state.lock();
        let serving = state.peers.iter().filter(|(_, peer)| peer.serves(now, self.start));
        let mut rooms: SmallVec<[(u64, Room); 16]> = serving
            .filter_map(|(name, peer)| {
                let capacity = peer.beat.as_ref()?.of(service)?;
                let (free, limit) = (capacity.free, capacity.limit);
                Some((peer.tie, Room { vm: name.clone(), free, limit }))
            })
            .filter(|(_, room)| wanted(room))
            .collect();
        drop(state);
        rooms.sort_unstable_by_key(|(tie, room)| (Reverse(room.free), *tie));
        rooms.into_iter().map(|(_, room)| room).collect()
    }
}
