use std::time::Duration;

use smallvec::SmallVec;

use super::DocumentVersion;
use crate::name;
use crate::time::Instant;

/// Longest time that one fetch may take. Another one may start then, even if the end of the first
/// was not reported.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a peer is skipped after a fetch from it failed. This is one heartbeat interval, after
/// which the heartbeats of other peers that may have the document have arrived.
pub const FETCH_BACKOFF: Duration = Duration::from_secs(1);

/// Limits the fetches of one kind of document from peers to one at a time.
///
/// All peers announce a new document within a second, and it may have 1 MB; without a limit, an
/// entry would fetch it from each of them. After a failure the next peer is tried, so that a peer
/// that announces a document but does not deliver it does not block the fetch.
#[derive(Debug, Default)]
pub struct FetchLimiter {
    started_at: Option<Instant>,
    failed_peers: SmallVec<[(name::Vm, Instant); 4]>,
}

impl FetchLimiter {
    /// Chooses the peer to fetch from and records the start of the fetch. `candidates` are the
    /// peers that have a newer document, the latest version first; the first one without a failure
    /// within [`FETCH_BACKOFF`] is chosen. `None` if a fetch is in progress or no candidate is
    /// left.
    pub fn start<'a>(
        &mut self,
        now: Instant,
        candidates: &'a [(name::Vm, DocumentVersion)],
    ) -> Option<&'a (name::Vm, DocumentVersion)> {
        if self.started_at.is_some_and(|started_at| now.since(started_at) < FETCH_TIMEOUT) {
            return None;
        }
        self.failed_peers.retain(|(_, failed_at)| now.since(*failed_at) < FETCH_BACKOFF);
        let failed = |vm: &name::Vm| self.failed_peers.iter().any(|(name, _)| name == vm);
        let chosen = candidates.iter().find(|(vm, _)| !failed(vm))?;
        self.started_at = Some(now);
        Some(chosen)
    }

    /// Records the end of the fetch from `peer`. It failed if there was no document or only one
    /// that is not newer.
    pub fn finish(&mut self, now: Instant, peer: &name::Vm, succeeded: bool) {
        self.started_at = None;
        if !succeeded {
            self.failed_peers.push((peer.clone(), now));
        }
    }
}
