use std::time::Duration;

use super::Heartbeat;
use crate::holder::event::Event;
use crate::holder::intent::DocumentVersion;
use crate::holder::member::VmState;
use crate::name;
use crate::time::Instant;

/// An entry that was not heard for this long is silent: three heartbeats, so that one lost message
/// does not move the servers that it holds.
pub const SILENT_AFTER: Duration = Duration::from_secs(3);

/// What is known of another entry, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// Name of its VM.
    pub vm: name::Vm,
    /// What the VM list says; `None` if it is not on the list.
    pub listed_state: Option<VmState>,
    /// When it was heard last.
    pub last_heard: Option<Instant>,
    /// Its process, if it was heard.
    pub incarnation: Option<u64>,
    /// Whether it says that it serves callers.
    pub ready: bool,
    /// Whether it says that it is leaving.
    pub leaving: bool,
    /// Place of its configuration in the order.
    pub config_version: Option<DocumentVersion>,
    /// Place of its VM list in the order.
    pub list_version: Option<DocumentVersion>,
}

/// Another entry.
#[derive(Debug)]
pub(super) struct Peer {
    /// What the VM list says; `None` if it is not on the list.
    pub listing: Option<VmState>,
    /// When the list last changed what it says.
    pub since: Instant,
    /// The latest heartbeat, with the local estimate of its free places.
    pub beat: Option<Heartbeat>,
    /// The latest time at which it is known to have been alive.
    pub heard: Option<Instant>,
    /// Whether a heartbeat to it was tried since the start.
    pub tried: bool,
    /// Orders equally good peers, differently on each entry, so that not all entries choose the
    /// same one.
    pub tie: u64,
    reported: bool,
}

impl Peer {
    pub fn new(since: Instant, tie: u64) -> Self {
        Self { listing: None, since, beat: None, heard: None, tried: false, tie, reported: false }
    }

    /// Takes over what the VM list says.
    pub fn list(&mut self, now: Instant, listing: Option<VmState>) {
        if self.listing != listing {
            self.listing = listing;
            self.since = now;
            self.reported = false;
        }
    }

    pub fn heard_within(&self, now: Instant, duration: Duration) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) <= duration)
    }

    /// Whether the peer may hold servers. `start` is the start of this process.
    pub fn available(&self, now: Instant, start: Instant) -> bool {
        let expected = match self.heard {
            Some(heard) => now.since(heard) <= SILENT_AFTER,
            None => now.since(start) <= SILENT_AFTER,
        };
        expected && self.listing == Some(VmState::Live) && !self.leaving()
    }

    /// Whether the peer takes forwarded requests and callers.
    pub fn serves(&self, now: Instant, start: Instant) -> bool {
        self.available(now, start) && self.beat.as_ref().is_some_and(|beat| beat.ready)
    }

    /// Whether the heartbeat replaces what is known. One of an earlier incarnation does so only if
    /// the peer is silent: a VM has no disk, so after a restart with a wrong wall clock its
    /// incarnation may be lower.
    pub fn accepts(&self, now: Instant, beat: &Heartbeat) -> bool {
        match &self.beat {
            None => true,
            Some(last) if beat.follows(last) => true,
            Some(last) => {
                beat.incarnation < last.incarnation && !self.heard_within(now, SILENT_AFTER)
            }
        }
    }

    /// Reports a change between heard and silent, once. Only peers that should be there are
    /// reported.
    pub fn change(&mut self, name: &name::Vm, now: Instant) -> Option<Event> {
        if self.listing != Some(VmState::Live) {
            return None;
        }
        let last = self.heard.unwrap_or(self.since);
        let silent = now.since(last) > SILENT_AFTER;
        if silent == self.reported {
            return None;
        }
        self.reported = silent;
        Some(if silent { Event::PeerSilent(name.clone()) } else { Event::PeerHeard(name.clone()) })
    }

    pub fn known(&self, name: &name::Vm) -> PeerStatus {
        let beat = self.beat.as_ref();
        PeerStatus {
            vm: name.clone(),
            listed_state: self.listing,
            last_heard: self.heard,
            incarnation: beat.map(|beat| beat.incarnation),
            ready: beat.is_some_and(|beat| beat.ready),
            leaving: self.leaving(),
            config_version: beat.and_then(|beat| beat.config_version),
            list_version: beat.and_then(|beat| beat.list_version),
        }
    }

    fn leaving(&self) -> bool {
        self.beat.as_ref().is_some_and(|beat| beat.leaving)
    }
}
