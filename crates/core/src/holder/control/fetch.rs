use std::time::Duration;

use super::Control;
use super::Kind;
use crate::holder::intent::Decision;
use crate::holder::intent::FETCH_TIMEOUT;
use crate::holder::intent::Order;
use crate::holder::intent::Source;
use crate::holder::port::Mesh;
use crate::holder::port::Ports;
use crate::holder::port::Reader;
use crate::name;
use crate::port::Clock;

/// Time between two looks for newer documents. A fetch that failed is tried again then.
const INTERVAL: Duration = Duration::from_millis(250);

impl<O: Ports> Control<O> {
    /// Fetches documents from peers that have newer ones.
    pub(super) async fn fetches(&self) {
        loop {
            tokio::join!(self.fetch(Kind::Config), self.fetch(Kind::List));
            let next = self.clock().now() + INTERVAL;
            tokio::select! {
                () = self.clock().sleep_until(next) => {}
                () = self.newer.notified() => {}
            }
        }
    }

    /// Fetches a document from a peer that has a newer one, if there is one.
    pub async fn fetch(&self, kind: Kind) {
        let Some((peer, order)) = self.source(kind) else {
            return;
        };
        let address = self.contacts.lock().get(&peer).copied();
        let bytes = match address {
            Some(address) => self.ports.peer().document(address, kind, FETCH_TIMEOUT).await,
            None => None,
        };
        let decision = bytes.map(|bytes| {
            let number = self.ports.reader().number(kind, &bytes);
            self.offer(kind, Order::of(number, &bytes), &bytes, Source::Peer(&peer))
        });
        let succeeded = matches!(decision, Some(Decision::Accepted | Decision::InForce));
        if !succeeded {
            log::debug!("fetch of document {order} from {peer} gave {decision:?}");
        }
        let now = self.clock().now();
        self.fetching.lock().of(kind).end(now, &peer, succeeded);
    }

    /// The peer to fetch from, and the document that it has.
    fn source(&self, kind: Kind) -> Option<(name::Vm, Order)> {
        let now = self.clock().now();
        let (intent, peers) = (&self.tables.intent, &self.tables.peers);
        let (config, list) = intent.orders();
        let candidates = match kind {
            Kind::Config => peers.ahead_config(now, config, &intent.config().refused),
            Kind::List => peers.ahead_list(now, list, &intent.list().refused),
        };
        self.fetching.lock().of(kind).start(now, &candidates).cloned()
    }
}
