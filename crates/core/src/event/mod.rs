//! The time line: events of all processes in an order that respects cause and effect.

use std::fmt;

use crate::name;

/// A stamp of a hybrid logical clock: wall time, and a counter that orders stamps of the same millisecond.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch.
    pub millis: u64,
    /// Orders stamps with equal milliseconds.
    pub counter: u32,
}

/// Something worth an operator's attention.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The process started, with its incarnation.
    Started(u64),
    /// The process serves callers.
    Ready,
    /// The process began its planned stop.
    Stopping,
    /// A configuration came into force.
    ConfigAccepted(u64),
    /// A configuration was refused.
    ConfigRefused(u64, String),
    /// A VM list came into force.
    ListAccepted(u64),
    /// A VM list was refused.
    ListRefused(u64, String),
    /// The entry refuses new work, because it cannot know the intent.
    Fenced,
    /// The entry accepts work again.
    Unfenced,
    /// A peer's heartbeats are missing.
    PeerSilent(name::Vm),
    /// A silent peer is heard again.
    PeerHeard(name::Vm),
    /// The entry now holds a server.
    Held(name::Service, name::Vm),
    /// The entry no longer holds a server.
    Released(name::Service, name::Vm),
    /// A server counts as cold.
    Cold(name::Service, name::Vm, &'static str),
    /// A server has reached its full limit.
    Warm(name::Service, name::Vm),
    /// A server receives no new work.
    Excluded(name::Service, name::Vm, String),
    /// A server may receive work again.
    Included(name::Service, name::Vm),
    /// A claim on a cold server is confirmed.
    Claimed(name::Service, name::Vm),
    /// A claim on a cold server ended.
    ClaimLost(name::Service, name::Vm),
}

impl Event {
    /// Short name of the kind of event, for filters.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Started(..) => "started",
            Self::Ready => "ready",
            Self::Stopping => "stopping",
            Self::ConfigAccepted(..) => "config_accepted",
            Self::ConfigRefused(..) => "config_refused",
            Self::ListAccepted(..) => "list_accepted",
            Self::ListRefused(..) => "list_refused",
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
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Started(incarnation) => write!(f, "process started, incarnation {incarnation:x}"),
            Self::Ready => write!(f, "ready for callers"),
            Self::Stopping => write!(f, "planned stop began"),
            Self::ConfigAccepted(revision) => write!(f, "configuration {revision} in force"),
            Self::ConfigRefused(revision, why) => {
                write!(f, "configuration {revision} refused: {why}")
            }
            Self::ListAccepted(version) => write!(f, "VM list {version} in force"),
            Self::ListRefused(version, why) => write!(f, "VM list {version} refused: {why}"),
            Self::Fenced => write!(f, "fenced: neither the platform nor most peers are heard"),
            Self::Unfenced => write!(f, "no longer fenced"),
            Self::PeerSilent(peer) => write!(f, "heartbeats of {peer} are missing"),
            Self::PeerHeard(peer) => write!(f, "{peer} is heard again"),
            Self::Held(service, server) => write!(f, "holds server {server} of {service}"),
            Self::Released(service, server) => write!(f, "released server {server} of {service}"),
            Self::Cold(service, server, why) => {
                write!(f, "server {server} of {service} is cold: {why}")
            }
            Self::Warm(service, server) => write!(f, "server {server} of {service} is warm"),
            Self::Excluded(service, server, why) => {
                write!(f, "server {server} of {service} receives no new work: {why}")
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
