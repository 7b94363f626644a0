//! The time line: events of all processes in an order that respects causality.
//!
//! Each process keeps its latest events in a [`Ring`] of fixed size and stamps them with a hybrid
//! logical [`HybridClock`]. Messages between processes carry stamps of the same clocks, so a merge
//! of several time lines by stamp never shows an effect before its cause, even where wall clocks
//! disagree. [`Timeline`] combines ring and clock behind one lock for the workers.

mod hybrid_clock;
mod ring;
mod timeline;

use std::fmt;

use crate::name;

pub use self::hybrid_clock::HybridClock;
pub use self::hybrid_clock::MAX_CLOCK_LEAD;
pub use self::ring::Record;
pub use self::ring::Ring;
pub use self::timeline::MAX_PAGE_EVENTS;
pub use self::timeline::Timeline;

/// Largest length in bytes of a text in an event. Texts are built from refused documents, which may
/// have 1 MB.
pub const MAX_TEXT_BYTES: usize = 512;

/// Appended to a truncated text.
const ELLIPSIS: &str = "...";

/// A timestamp of a hybrid logical clock: wall time, and a counter that orders stamps of the same
/// millisecond.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch.
    pub millis: u64,
    /// Position among the stamps with equal milliseconds.
    pub counter: u32,
}

/// A change of state that operators see on the time line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The process started; its incarnation.
    Started(u64),
    /// The start is complete: the process serves callers.
    Ready,
    /// The process began its planned stop.
    Stopping,
    /// A configuration came into force; its revision.
    ConfigAccepted(u64),
    /// A configuration is not valid; its revision and the reason.
    ConfigRefused(u64, String),
    /// Two configurations have this revision; the one with the higher digest takes precedence.
    ConfigConflict(u64),
    /// The platform serves a configuration older than the one in force: the revision served and the
    /// one in force.
    ConfigStale(u64, u64),
    /// A VM list came into force; its version.
    ListAccepted(u64),
    /// A VM list is not valid; its version and the reason.
    ListRefused(u64, String),
    /// Two VM lists have this version; the one with the higher digest takes precedence.
    ListConflict(u64),
    /// The platform serves a VM list older than the one in force: the version served and the one in
    /// force.
    ListStale(u64, u64),
    /// The entry refuses new work, because it can reach neither the platform nor enough peers to
    /// know the current configuration and VM list.
    Fenced,
    /// The entry accepts work again.
    Unfenced,
    /// The heartbeats of a peer stopped.
    PeerSilent(name::Vm),
    /// The heartbeats of a silent peer arrive again.
    PeerHeard(name::Vm),
    /// The entry now holds a server.
    Held(name::Service, name::Vm),
    /// The entry no longer holds a server.
    Released(name::Service, name::Vm),
    /// A server became cold; the reason.
    Cold(name::Service, name::Vm, &'static str),
    /// A server reached its full concurrency limit.
    Warm(name::Service, name::Vm),
    /// A server receives no new work; the reason.
    Excluded(name::Service, name::Vm, String),
    /// A server may receive work again.
    Included(name::Service, name::Vm),
    /// The claim on a cold server was confirmed.
    Claimed(name::Service, name::Vm),
    /// The claim on a cold server is no longer confirmed.
    ClaimLost(name::Service, name::Vm),
}

impl Event {
    /// Name of the kind of event, as used in filters.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Started(..) => "started",
            Self::Ready => "ready",
            Self::Stopping => "stopping",
            Self::ConfigAccepted(..) => "config_accepted",
            Self::ConfigRefused(..) => "config_refused",
            Self::ConfigConflict(..) => "config_conflict",
            Self::ConfigStale(..) => "config_stale",
            Self::ListAccepted(..) => "list_accepted",
            Self::ListRefused(..) => "list_refused",
            Self::ListConflict(..) => "list_conflict",
            Self::ListStale(..) => "list_stale",
            Self::Fenced => "fenced",
            Self::Unfenced => "unfenced",
            Self::PeerSilent(..) => "peer_silent",
            Self::PeerHeard(..) => "peer_heard",
            Self::Held(..) => "held",
            Self::Released(..) => "released",
            Self::Cold(..) => "cold",
            Self::Warm(..) => "warm",
            Self::Excluded(..) => "excluded",
            Self::Included(..) => "included",
            Self::Claimed(..) => "claimed",
            Self::ClaimLost(..) => "claim_lost",
        }
    }

    /// The service that the event concerns, if any.
    pub fn service(&self) -> Option<&name::Service> {
        self.server().map(|(service, _)| service)
    }

    /// The VM that the event concerns, if it is not the process's own.
    pub fn vm(&self) -> Option<&name::Vm> {
        match self {
            Self::PeerSilent(peer) | Self::PeerHeard(peer) => Some(peer),
            _ => self.server().map(|(_, server)| server),
        }
    }

    fn server(&self) -> Option<(&name::Service, &name::Vm)> {
        match self {
            Self::Held(service, server)
            | Self::Released(service, server)
            | Self::Cold(service, server, _)
            | Self::Warm(service, server)
            | Self::Excluded(service, server, _)
            | Self::Included(service, server)
            | Self::Claimed(service, server)
            | Self::ClaimLost(service, server) => Some((service, server)),
            _ => None,
        }
    }

    /// The event with its text truncated to [`MAX_TEXT_BYTES`].
    pub fn truncated(self) -> Self {
        match self {
            Self::ConfigRefused(revision, reason) => {
                Self::ConfigRefused(revision, truncate(reason))
            }
            Self::ListRefused(version, reason) => Self::ListRefused(version, truncate(reason)),
            Self::Excluded(service, server, reason) => {
                Self::Excluded(service, server, truncate(reason))
            }
            other => other,
        }
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Started(incarnation) => write!(f, "process started, incarnation {incarnation:x}"),
            Self::Ready => write!(f, "ready for callers"),
            Self::Stopping => write!(f, "planned stop began"),
            Self::ConfigAccepted(revision) => write!(f, "configuration {revision} in force"),
            Self::ConfigRefused(revision, reason) => {
                write!(f, "configuration {revision} refused: {reason}")
            }
            Self::ConfigConflict(revision) => {
                write!(f, "two configurations have revision {revision}; the higher digest counts")
            }
            Self::ConfigStale(served, in_force) => {
                write!(f, "platform serves configuration {served}, older than {in_force} in force")
            }
            Self::ListAccepted(version) => write!(f, "VM list {version} in force"),
            Self::ListRefused(version, reason) => write!(f, "VM list {version} refused: {reason}"),
            Self::ListConflict(version) => {
                write!(f, "two VM lists have version {version}; the higher digest counts")
            }
            Self::ListStale(served, in_force) => {
                write!(f, "platform serves VM list {served}, older than {in_force} in force")
            }
            Self::Fenced => write!(f, "fenced: neither the platform nor most peers are heard"),
            Self::Unfenced => write!(f, "no longer fenced"),
            Self::PeerSilent(peer) => write!(f, "heartbeats of {peer} are missing"),
            Self::PeerHeard(peer) => write!(f, "{peer} is heard again"),
            Self::Held(service, server) => write!(f, "holds server {server} of {service}"),
            Self::Released(service, server) => write!(f, "released server {server} of {service}"),
            Self::Cold(service, server, reason) => {
                write!(f, "server {server} of {service} is cold: {reason}")
            }
            Self::Warm(service, server) => write!(f, "server {server} of {service} is warm"),
            Self::Excluded(service, server, reason) => {
                write!(f, "server {server} of {service} receives no new work: {reason}")
            }
            Self::Included(service, server) => {
                write!(f, "server {server} of {service} may receive work")
            }
            Self::Claimed(service, server) => {
                write!(f, "claim on cold server {server} of {service} confirmed")
            }
            Self::ClaimLost(service, server) => {
                write!(f, "claim on cold server {server} of {service} ended")
            }
        }
    }
}

/// Truncates a text to [`MAX_TEXT_BYTES`] at a character boundary. A text that is short enough
/// keeps its allocation.
pub(crate) fn truncate(text: String) -> String {
    if text.len() <= MAX_TEXT_BYTES {
        return text;
    }
    let end = text.floor_char_boundary(MAX_TEXT_BYTES - ELLIPSIS.len());
    format!("{}{ELLIPSIS}", &text[..end])
}
