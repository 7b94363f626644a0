use std::time::Duration;

use smallvec::SmallVec;

use super::DocumentVersion;
use crate::name;
use crate::time::Instant;

/// Longest time that one fetch may take. A fetch that was not reported as ended by then no longer
/// keeps others from starting.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a peer is not asked again after a fetch from it failed: one heartbeat, after which
/// other peers have been heard that may have the document.
pub const FETCH_BACKOFF: Duration = Duration::from_secs(1);

/// Paces the fetches of one kind of document from peers.
///
/// All peers announce a new document within a second, and it may have 1 MB; without a limit an
/// entry would fetch it from each of them. One fetch runs at a time. After a failure the next peer
/// is asked, so that one peer that announces a document but does not deliver it holds nobody up.
#[derive(Debug, Default)]
pub struct FetchLimiter {
    started: Option<Instant>,
    failed: SmallVec<[(name::Vm, Instant); 4]>,
}

impl FetchLimiter {
    /// Chooses the peer to fetch from, the first that did not fail lately, and counts the fetch as
    /// started. `candidates` are the peers that have a newer document, the latest first. `None` if
    /// a fetch is under way or no peer is left.
    pub fn start<'a>(
        &mut self,
        now: Instant,
        candidates: &'a [(name::Vm, DocumentVersion)],
    ) -> Option<&'a (name::Vm, DocumentVersion)> {
        if self.started.is_some_and(|started| now.since(started) < FETCH_TIMEOUT) {
            return None;
        }
        self.failed.retain(|(_, at)| now.since(*at) < FETCH_BACKOFF);
        let failed = |vm: &name::Vm| self.failed.iter().any(|(name, _)| name == vm);
        let chosen = candidates.iter().find(|(vm, _)| !failed(vm))?;
        self.started = Some(now);
        Some(chosen)
    }

    /// The fetch from `peer` ended. It failed if there was no document or not one that was newer.
    pub fn end(&mut self, now: Instant, peer: &name::Vm, succeeded: bool) {
        self.started = None;
        if !succeeded {
            self.failed.push((peer.clone(), now));
        }
    }
}
