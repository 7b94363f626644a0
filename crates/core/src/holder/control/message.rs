use crate::holder::event::Stamp;
use crate::holder::lease::Target;
use crate::holder::member::Heartbeat;
use crate::name;

/// A kind of document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DocumentKind {
    /// The configuration.
    Config,
    /// The VM list.
    List,
}

/// A heartbeat with its sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeartbeatMessage {
    /// The sender's VM.
    pub from: name::Vm,
    /// What the sender says about itself.
    pub heartbeat: Heartbeat,
}

/// Asks a witness for promises.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim<'a> {
    /// The claimant's VM.
    pub claimant: &'a name::Vm,
    /// The claimant's incarnation.
    pub incarnation: u64,
    /// Number of the message; grows with each round of one incarnation.
    pub round: u64,
    /// The claimant's clock.
    pub clock: Stamp,
    /// The servers claimed.
    pub targets: &'a [Target],
    /// The servers given back.
    pub released: &'a [Target],
}

/// What a witness answers to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The witness's VM.
    pub witness: name::Vm,
    /// The witness's clock.
    pub clock: Stamp,
    /// For each claimed server, in order, whether it is promised.
    pub granted: Vec<bool>,
}
