use std::time::Duration;

use super::Control;
use super::DocumentKind;
use crate::holder::intent::Decision;
use crate::holder::intent::DocumentVersion;
use crate::holder::intent::FETCH_TIMEOUT;
use crate::holder::intent::Source;
use crate::holder::port::Coordination;
use crate::holder::port::Parser;
use crate::holder::port::Ports;
use crate::name;
use crate::port::Clock;

/// Time between two checks for newer documents. A fetch that failed is retried then.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl<O: Ports> Control<O> {
    /// Fetches newer documents from peers, every [`CHECK_INTERVAL`] and after each heartbeat.
    pub(super) async fn run_fetches(&self) {
        loop {
            tokio::join!(
                self.fetch_document(DocumentKind::Config),
                self.fetch_document(DocumentKind::List)
            );
            let next = self.clock().now() + CHECK_INTERVAL;
            tokio::select! {
                () = self.clock().sleep_until(next) => {}
                () = self.fetch_needed.notified() => {}
            }
        }
    }

    /// Fetches a document from a peer that has a newer one. Does nothing if there is no such peer
    /// or a fetch is in progress.
    pub async fn fetch_document(&self, kind: DocumentKind) {
        let Some((peer, version)) = self.start_fetch(kind) else {
            return;
        };
        let address = self.peer_addresses.lock().get(&peer).copied();
        let bytes = match address {
            Some(address) => self.ports.peer().document(address, kind, FETCH_TIMEOUT).await,
            None => None,
        };
        let decision = bytes.map(|bytes| {
            let number = self.ports.parser().number(kind, &bytes);
            self.offer(kind, DocumentVersion::new(number, &bytes), &bytes, Source::Peer(&peer))
        });
        let succeeded = matches!(decision, Some(Decision::Accepted | Decision::InForce));
        if !succeeded {
            log::debug!("fetch of document {version} from {peer} gave {decision:?}");
        }
        let now = self.clock().now();
        self.fetch_limiters.lock().limiter(kind).finish(now, &peer, succeeded);
    }

    /// Starts a fetch: chooses the peer and returns it with the version that it has.
    fn start_fetch(&self, kind: DocumentKind) -> Option<(name::Vm, DocumentVersion)> {
        let now = self.clock().now();
        let (intent, peers) = (&self.tables.intent, &self.tables.peers);
        let (config_version, list_version) = intent.versions();
        let candidates = match kind {
            DocumentKind::Config => {
                peers.with_newer_config(now, config_version, &intent.config_status().refused)
            }
            DocumentKind::List => {
                peers.with_newer_list(now, list_version, &intent.list_status().refused)
            }
        };
        self.fetch_limiters.lock().limiter(kind).start(now, &candidates).cloned()
    }
}
