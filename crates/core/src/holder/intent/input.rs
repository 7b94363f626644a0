use std::time::Duration;

use super::DocumentTable;
use super::PlatformReads;
use crate::holder::member::Connectivity;
use crate::holder::member::Peers;
use crate::holder::member::SILENT_AFTER;
use crate::time::Instant;

/// How long an entry may take new work after its last contact with the platform or with enough
/// peers: five heartbeats, and no more than the few seconds after which a failure domain taken out
/// of service must get no new work.
pub const FENCE_AFTER: Duration = Duration::from_secs(5);

/// How long an entry that starts waits for heartbeats of its peers.
pub const JOIN_TIMEOUT: Duration = Duration::from_secs(3);

/// How long an entry that has started or regained contact waits for newer documents that its peers
/// have. The wait is bounded, because a document that cannot be fetched must not keep the entry out
/// of service.
pub const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time that a read of the platform may wait for a change while a majority of the entries
/// is heard.
pub const CONNECTED_READ_WAIT: Duration = Duration::from_secs(30);

/// Longest time that a read of the platform may wait for a change while no majority of the entries
/// is heard. A pending read proves nothing, so it must end well before [`FENCE_AFTER`].
pub const ISOLATED_READ_WAIT: Duration = Duration::from_secs(1);

/// The state from which [`Readiness`](super::Readiness) decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReadinessInput {
    /// Times of the latest reads of the platform.
    pub platform_reads: PlatformReads,
    /// Contact with the other entries.
    pub connectivity: Connectivity,
    /// Whether a configuration and a VM list are in force.
    pub has_documents: bool,
    /// Whether a live peer has a newer document that this entry has not refused.
    pub behind: bool,
}

impl ReadinessInput {
    /// Collects the state from the tables.
    pub fn collect(now: Instant, table: &DocumentTable, peers: &Peers) -> Self {
        let (config, list) = (table.config_status(), table.list_status());
        let config_version = config.accepted.as_ref().map(|accepted| accepted.version);
        let list_version = list.accepted.as_ref().map(|accepted| accepted.version);
        let behind = !peers.with_newer_config(now, config_version, &config.refused).is_empty()
            || !peers.with_newer_list(now, list_version, &list.refused).is_empty();
        Self {
            platform_reads: table.platform_reads(),
            connectivity: peers.connectivity(),
            has_documents: config.accepted.is_some() && list.accepted.is_some(),
            behind,
        }
    }

    /// The last point in time at which the entry can know the intent; `None` if it never could.
    ///
    /// The entry knows the intent for [`FENCE_AFTER`] after a read of the platform, and for as long
    /// after the latest time such that it heard a majority of the live entries, itself included,
    /// then or later. A read counts from when it was sent.
    ///
    /// A read that the platform answers with a document older than the one in force shows that the
    /// platform is up, but not what the intent is: the platform may lack any number of later
    /// documents. So such a read does not count while there are other entries. An entry that cannot
    /// reach the others and gets such answers is fenced, and the others serve. An entry that is
    /// alone on the list keeps serving instead: it has the newest known document, and no other
    /// entry would serve.
    ///
    /// An entry that cannot reach the others and reads the document that it already has cannot
    /// distinguish old data from an unchanged intent. It keeps serving; this is the case that
    /// invariant I3 (no new work for a failure domain taken out of service) does not cover.
    pub fn intent_known_until(&self) -> Option<Instant> {
        let last_read = match self.connectivity.peers {
            0 => self.platform_reads.answered_at,
            _ => self.platform_reads.current_at,
        };
        last_read.max(self.connectivity.majority_heard_at).map(|last| last + FENCE_AFTER)
    }

    /// Whether an entry that started at `start` has heard a majority of the entries, or has waited
    /// for [`JOIN_TIMEOUT`] and sent a heartbeat to each of them.
    pub fn joined(&self, now: Instant, start: Instant) -> bool {
        let connectivity = &self.connectivity;
        let waited = now.since(start) >= JOIN_TIMEOUT && connectivity.untried == 0;
        connectivity.peers == 0 || connectivity.majority_heard_at.is_some() || waited
    }

    /// How long the next read of the platform may wait for a change. A read that is pending for
    /// longer is abandoned and sent again; otherwise an entry that loses contact with its peers
    /// would be fenced although it could read the platform.
    pub fn read_wait(&self, now: Instant) -> Duration {
        let majority_heard =
            self.connectivity.majority_heard_at.is_some_and(|last| now.since(last) <= SILENT_AFTER);
        if majority_heard { CONNECTED_READ_WAIT } else { ISOLATED_READ_WAIT }
    }
}
