use std::time::Duration;

use super::Heartbeat;
use crate::holder::event::Event;
use crate::holder::intent::DocumentVersion;
use crate::holder::member::VmState;
use crate::name;
use crate::time::Instant;

/// An entry that was last heard longer ago than this is silent. This is three heartbeat intervals,
/// so that one lost message does not move the servers that the entry holds.
pub const SILENT_AFTER: Duration = Duration::from_secs(3);

/// The known state of another entry, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// Name of its VM.
    pub vm: name::Vm,
    /// Its state on the VM list; `None` if it is not on the list.
    pub listed_state: Option<VmState>,
    /// When it was last heard; `None` if never.
    pub last_heard: Option<Instant>,
    /// Incarnation of its process; `None` if it was never heard.
    pub incarnation: Option<u64>,
    /// Whether it reports that it serves callers.
    pub ready: bool,
    /// Whether it reports that it is leaving.
    pub leaving: bool,
    /// Version of its configuration.
    pub config_version: Option<DocumentVersion>,
    /// Version of its VM list.
    pub list_version: Option<DocumentVersion>,
}

/// The known state of another entry.
#[derive(Debug)]
pub(super) struct Peer {
    /// Its state on the VM list; `None` if it is not on the list.
    pub listed_state: Option<VmState>,
    /// When `listed_state` last changed, or when the peer was added.
    pub listed_since: Instant,
    /// The latest heartbeat, with the local estimate of its free slots.
    pub heartbeat: Option<Heartbeat>,
    /// The latest time at which its process is known to have run.
    pub last_heard: Option<Instant>,
    /// Whether a heartbeat was sent to it or received from it since the start of this process.
    pub tried: bool,
    /// Orders equally good peers, differently on each entry, so that not all entries choose the
    /// same one.
    pub tie_breaker: u64,
    /// Whether the last event about the peer was that it is silent.
    reported_silent: bool,
}

impl Peer {
    pub fn new(listed_since: Instant, tie_breaker: u64) -> Self {
        Self {
            listed_state: None,
            listed_since,
            heartbeat: None,
            last_heard: None,
            tried: false,
            tie_breaker,
            reported_silent: false,
        }
    }

    /// Updates the state on the VM list.
    pub fn set_listed_state(&mut self, now: Instant, listed_state: Option<VmState>) {
        if self.listed_state != listed_state {
            self.listed_state = listed_state;
            self.listed_since = now;
            self.reported_silent = false;
        }
    }

    pub fn heard_within(&self, now: Instant, duration: Duration) -> bool {
        self.last_heard.is_some_and(|last_heard| now.since(last_heard) <= duration)
    }

    /// Whether the peer may hold servers. `start` is the start of this process.
    pub fn available(&self, now: Instant, start: Instant) -> bool {
        let live = match self.last_heard {
            Some(last_heard) => now.since(last_heard) <= SILENT_AFTER,
            None => now.since(start) <= SILENT_AFTER,
        };
        live && self.listed_state == Some(VmState::Live) && !self.leaving()
    }

    /// Whether the peer accepts callers and forwarded requests. `start` is the start of this
    /// process.
    pub fn serves(&self, now: Instant, start: Instant) -> bool {
        self.available(now, start)
            && self.heartbeat.as_ref().is_some_and(|heartbeat| heartbeat.ready)
    }

    /// Whether the heartbeat replaces the one known. One of an earlier incarnation does so only if
    /// the peer is silent: a VM has no disk, so after a restart with a wrong wall clock its
    /// incarnation may be lower.
    pub fn accepts(&self, now: Instant, heartbeat: &Heartbeat) -> bool {
        match &self.heartbeat {
            None => true,
            Some(known) if heartbeat.is_later_than(known) => true,
            Some(known) => {
                heartbeat.incarnation < known.incarnation && !self.heard_within(now, SILENT_AFTER)
            }
        }
    }

    /// Returns an event if the peer became silent or is heard again, once for each change. Only
    /// peers that are live on the VM list are reported.
    pub fn silence_event(&mut self, name: &name::Vm, now: Instant) -> Option<Event> {
        if self.listed_state != Some(VmState::Live) {
            return None;
        }
        let last = self.last_heard.unwrap_or(self.listed_since);
        let silent = now.since(last) > SILENT_AFTER;
        if silent == self.reported_silent {
            return None;
        }
        self.reported_silent = silent;
        Some(if silent { Event::PeerSilent(name.clone()) } else { Event::PeerHeard(name.clone()) })
    }

    pub fn status(&self, name: &name::Vm) -> PeerStatus {
        let heartbeat = self.heartbeat.as_ref();
        PeerStatus {
            vm: name.clone(),
            listed_state: self.listed_state,
            last_heard: self.last_heard,
            incarnation: heartbeat.map(|heartbeat| heartbeat.incarnation),
            ready: heartbeat.is_some_and(|heartbeat| heartbeat.ready),
            leaving: self.leaving(),
            config_version: heartbeat.and_then(|heartbeat| heartbeat.config_version),
            list_version: heartbeat.and_then(|heartbeat| heartbeat.list_version),
        }
    }

    fn leaving(&self) -> bool {
        self.heartbeat.as_ref().is_some_and(|heartbeat| heartbeat.leaving)
    }
}
