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

/// Time between two looks for newer documents. A fetch that failed is tried again then.
const INTERVAL: Duration = Duration::from_millis(250);

impl<O: Ports> Control<O> {
    /// Fetches documents from peers that have newer ones.
    pub(super) async fn fetches(&self) {
        loop {
            tokio::join!(
                self.fetch_document(DocumentKind::Config),
                self.fetch_document(DocumentKind::List)
            );
            let next = self.clock().now() + INTERVAL;
            tokio::select! {
                () = self.clock().sleep_until(next) => {}
                () = self.newer.notified() => {}
            }
        }
    }

    /// Fetches a document from a peer that has a newer one, if there is one.
    pub async fn fetch_document(&self, kind: DocumentKind) {
        let Some((peer, order)) = self.source(kind) else {
            return;
        };
        let address = self.contacts.lock().get(&peer).copied();
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
            log::debug!("fetch of document {order} from {peer} gave {decision:?}");
        }
        let now = self.clock().now();
        self.fetching.lock().of(kind).finish(now, &peer, succeeded);
    }

    /// The peer to fetch from, and the document that it has.
    fn source(&self, kind: DocumentKind) -> Option<(name::Vm, DocumentVersion)> {
        let now = self.clock().now();
        let (intent, peers) = (&self.tables.intent, &self.tables.peers);
        let (config, list) = intent.versions();
        let candidates = match kind {
            DocumentKind::Config => {
                peers.with_newer_config(now, config, &intent.config_status().refused)
            }
            DocumentKind::List => peers.with_newer_list(now, list, &intent.list_status().refused),
        };
        self.fetching.lock().of(kind).start(now, &candidates).cloned()
    }
}
