use crate::holder::event::Stamp;
use crate::holder::lease::Target;
use crate::holder::member::Heartbeat;
use crate::name;

/// The kinds of documents that entries get from the platform and from each other.
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

/// Asks a witness to promise servers to the claimant. A witness promises a server to only one
/// claimant at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim<'a> {
    /// The claimant's VM.
    pub claimant: &'a name::Vm,
    /// The claimant's incarnation.
    pub incarnation: u64,
    /// Number of the round of claims; increases within an incarnation.
    pub round: u64,
    /// Timestamp of the claimant's hybrid logical clock.
    pub clock: Stamp,
    /// The servers to claim.
    pub targets: &'a [Target],
    /// The servers whose promises the claimant gives back.
    pub released: &'a [Target],
}

/// The answer of a witness to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The witness's VM.
    pub witness: name::Vm,
    /// Timestamp of the witness's hybrid logical clock.
    pub clock: Stamp,
    /// For each server in [`Claim::targets`], in order, whether the witness promises it.
    pub granted: Vec<bool>,
}
