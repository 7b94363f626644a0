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
    /// The state that the sender reports.
    pub heartbeat: Heartbeat,
}

/// A request for promises of a witness.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim<'a> {
    /// The claimant's VM.
    pub claimant: &'a name::Vm,
    /// The claimant's incarnation.
    pub incarnation: u64,
    /// Number of the round of claims; increases within an incarnation.
    pub round: u64,
    /// Stamp of the claimant's clock.
    pub clock: Stamp,
    /// The servers to claim.
    pub targets: &'a [Target],
    /// The servers whose promises are released.
    pub released: &'a [Target],
}

/// The answer of a witness to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The witness's VM.
    pub witness: name::Vm,
    /// Stamp of the witness's clock.
    pub clock: Stamp,
    /// For each server in [`Claim::targets`], in order, whether the witness promises it.
    pub granted: Vec<bool>,
}
