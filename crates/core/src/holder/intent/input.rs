use std::time::Duration;

use super::DocumentTable;
use super::PlatformReads;
use crate::holder::member::Connectivity;
use crate::holder::member::Peers;
use crate::holder::member::SILENT_AFTER;
use crate::time::Instant;

/// How long an entry may go on without contact to those that tell it the intent: five heartbeats,
/// and the few seconds within which a failure domain taken out of service must get no new work.
pub const FENCE_AFTER: Duration = Duration::from_secs(5);

/// How long an entry that starts waits for its peers.
pub const JOIN_TIMEOUT: Duration = Duration::from_secs(3);

/// How long an entry that comes back into contact waits for newer documents that its peers have.
/// The wait is bounded, because a document that cannot be fetched must not keep the entry out of
/// service.
pub const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time that a read of the platform may wait for a change while the peers are heard.
pub const CONNECTED_READ_WAIT: Duration = Duration::from_secs(30);

/// Longest time that a read of the platform may wait for a change while the peers are not heard. A
/// pending read tells nothing, so it must end well before [`FENCE_AFTER`].
pub const ISOLATED_READ_WAIT: Duration = Duration::from_secs(1);

/// What the fence and readiness are decided from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReadinessInput {
    /// When the platform was read.
    pub platform_reads: PlatformReads,
    /// Connectivity with the other entries.
    pub connectivity: Connectivity,
    /// Whether a configuration and a VM list are in force.
    pub has_documents: bool,
    /// Whether a peer that is heard has a newer document that this entry has not refused.
    pub behind: bool,
}

impl ReadinessInput {
    /// Collects the evidence from the tables.
    pub fn collect(now: Instant, table: &DocumentTable, peers: &Peers) -> Self {
        let (config, list) = (table.config_status(), table.list_status());
        let config_order = config.accepted.as_ref().map(|accepted| accepted.version);
        let list_order = list.accepted.as_ref().map(|accepted| accepted.version);
        let behind = !peers.with_newer_config(now, config_order, &config.refused).is_empty()
            || !peers.with_newer_list(now, list_order, &list.refused).is_empty();
        Self {
            platform_reads: table.platform_reads(),
            connectivity: peers.connectivity(),
            has_documents: config.accepted.is_some() && list.accepted.is_some(),
            behind,
        }
    }

    /// The last point in time at which the entry can know the intent; `None` if it never could.
    ///
    /// The entry knows the intent for [`FENCE_AFTER`] after a read of the platform, and after the
    /// latest time such that it heard a majority of the live entries, itself included, then or
    /// later. A read counts from when it was sent.
    ///
    /// A read that the platform answered with a document older than the one in force shows that the
    /// platform is up, but not what the intent is: the platform may lack any number of later
    /// documents. So it does not count while there are other entries. An entry that is cut off from
    /// them and gets such answers is fenced, and the others go on. An entry that is alone on the
    /// list goes on instead: it has the newest document there is evidence of, and nobody else would
    /// serve. An entry that is cut off and gets the very document that it has cannot tell old data
    /// from an unchanged intent; it goes on, and this is the case that I3 does not cover.
    pub fn intent_known_until(&self) -> Option<Instant> {
        let platform = match self.connectivity.peers {
            0 => self.platform_reads.answered_at,
            _ => self.platform_reads.current_at,
        };
        platform.max(self.connectivity.majority_heard_at).map(|last| last + FENCE_AFTER)
    }

    /// Whether an entry that started at `start` has heard enough peers, or waited and tried enough.
    pub fn joined(&self, now: Instant, start: Instant) -> bool {
        let contact = &self.connectivity;
        let waited = now.since(start) >= JOIN_TIMEOUT && contact.untried == 0;
        contact.peers == 0 || contact.majority_heard_at.is_some() || waited
    }

    /// How long the next read of the platform may wait for a change. A read that is pending for
    /// longer than this is given up and sent again; otherwise an entry that loses its peers would
    /// be fenced although it could read the platform.
    pub fn read_wait(&self, now: Instant) -> Duration {
        let heard =
            self.connectivity.majority_heard_at.is_some_and(|last| now.since(last) <= SILENT_AFTER);
        if heard { CONNECTED_READ_WAIT } else { ISOLATED_READ_WAIT }
    }
}
