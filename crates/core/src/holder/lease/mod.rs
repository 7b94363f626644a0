//! Leases on cold servers: at most one entry may send to a server that has just started.
//!
//! The holder of a server asks the server's witnesses to promise the server to it. A quorum of
//! promises makes a lease. Lists that differ a little still give quorums that intersect (see
//! [`crate::holder::rank::quorum`]), and no witness promises a server to two entries at once, so no two
//! entries have a lease at once.
//!
//! There is no shared clock. The claimant counts [`LIFETIME`] from before it sends a claim, and a
//! witness keeps a promise for [`HOLD`] from after it received the claim. Clocks must count the
//! time that a VM is suspended. They may differ in rate by as much as [`MARGIN`] allows.
//!
//! Nothing is stored on disk. A witness that has started makes no promises until all promises that
//! it may have made before have ended. A claimant that has started has a new incarnation, and
//! witnesses treat it as another claimant, because requests sent before may still run.
//!
//! Messages may be lost, repeated and reordered. Each carries the number of its round, which grows
//! with each message of a claimant, so that a delayed release cannot end a newer promise.

mod batch;
mod claims;
mod leases;
mod promises;

use std::time::Duration;

use crate::name;

pub use self::batch::Batch;
pub use self::claims::Claims;
pub use self::leases::Leases;
pub use self::promises::MAX_PROMISES;
pub use self::promises::Promises;

/// Time for which a promise counts, from before its claim was sent. A failed holder blocks a cold
/// server for up to this time and [`MARGIN`].
pub const LIFETIME: Duration = Duration::from_secs(2);

/// Time by which a witness keeps a promise longer than it counts. It covers clocks whose rates
/// differ by up to a tenth from true time.
pub const MARGIN: Duration = Duration::from_millis(500);

/// Time for which a witness keeps a promise, and for which it makes none after its start.
pub const HOLD: Duration = Duration::from_millis(2_500);

/// Time between two claims of the same server. Four rounds fit into a lifetime, so a lease outlives
/// the loss of two rounds in a row.
pub const RENEWAL: Duration = Duration::from_millis(500);

/// A server of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Target {
    /// The service.
    pub service: name::Service,
    /// The server's VM.
    pub server: name::Vm,
}

/// The sender of a claim or a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claimant<'a> {
    /// The claimant's VM.
    pub name: &'a name::Vm,
    /// Changes with each start of the claimant.
    pub incarnation: u64,
    /// Number of the message; grows with each round of one incarnation.
    pub round: u64,
}
