//! Leases on cold servers: at most one entry may send to a server that has just started.
//!
//! The holder of a server sends a claim to the server's witnesses, which are other entries and
//! usually the holder itself. Each witness promises the server to one claimant at a time. A quorum
//! of promises makes a lease. VM lists that differ a little still give quorums that intersect (see
//! [`crate::holder::rank::quorum`]), so no two entries have a lease on a server at once.
//!
//! There is no shared clock. The claimant counts [`LEASE_DURATION`] from before it sends a claim,
//! and a witness keeps a promise for [`PROMISE_DURATION`] from after it received the claim. Clocks
//! must count the time that a VM is suspended. Their rates may differ as far as [`CLOCK_MARGIN`]
//! allows.
//!
//! Nothing is stored on disk. A witness that was restarted makes no promises until all promises of
//! its earlier process have expired. A claimant that was restarted has a new incarnation, and
//! witnesses treat it as another claimant, because requests sent by its earlier process may still
//! run.
//!
//! Messages may be lost, duplicated and reordered. Each carries the number of its round, which
//! grows with each round of a claimant, so that a delayed release cannot remove a newer promise.

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

/// Time for which a claimant counts a promise, from before it sent the claim. A failed holder
/// blocks a cold server for up to this time plus [`CLOCK_MARGIN`].
pub const LEASE_DURATION: Duration = Duration::from_secs(2);

/// Time by which a witness keeps a promise longer than the claimant counts it. It covers clocks
/// whose rates differ from true time by up to a tenth.
pub const CLOCK_MARGIN: Duration = Duration::from_millis(500);

/// Time for which a witness keeps a promise, and for which it makes no promises after its start.
pub const PROMISE_DURATION: Duration = Duration::from_millis(2_500);

/// Time between two claims of the same server. Four rounds fit into [`LEASE_DURATION`], so a lease
/// survives the loss of two rounds in a row.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

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
    /// Changes with each start of the claimant's process.
    pub incarnation: u64,
    /// Number of the round, which grows with each round of one incarnation.
    pub round: u64,
}
