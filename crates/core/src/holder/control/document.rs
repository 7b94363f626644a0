use super::Control;
use super::Kind;
use crate::holder::intent::Decision;
use crate::holder::intent::Order;
use crate::holder::intent::Source;
use crate::holder::port::Ports;
use crate::holder::port::Reader;
use crate::port::Clock;
use crate::time::Instant;

impl<O: Ports> Control<O> {
    /// Takes over what the platform answered to a read sent at `asked`.
    pub fn platform_read(&self, kind: Kind, bytes: &[u8], asked: Instant) {
        let number = self.ports.reader().number(kind, bytes);
        let order = Order::of(number, bytes);
        if self.served(kind) == Some(order) {
            self.unchanged(kind, asked);
        } else {
            self.offer(kind, order, bytes, Source::Platform { asked });
        }
        self.changed.notify_one();
    }

    /// The platform answered a read sent at `asked` that it has no such document.
    pub fn platform_missing(&self, kind: Kind, asked: Instant) {
        match kind {
            Kind::Config => self.tables.intent.missing_config(asked),
            Kind::List => self.tables.intent.missing_list(asked),
        }
        self.changed.notify_one();
    }

    /// Offers a document to the table of documents in force.
    pub(super) fn offer(
        &self,
        kind: Kind,
        order: Order,
        bytes: &[u8],
        source: Source<'_>,
    ) -> Decision {
        let now = self.clock().now();
        let intent = &self.tables.intent;
        let reader = self.ports.reader();
        let journal = self.journal();
        let decision = match kind {
            Kind::Config => {
                intent.offer_config(now, order, reader.config(bytes), bytes, source, &journal)
            }
            Kind::List => {
                intent.offer_list(now, order, reader.list(bytes), bytes, source, &journal)
            }
        };
        if decision == Decision::Accepted {
            self.changed.notify_one();
        }
        decision
    }

    /// Place of the document in the platform's last answer.
    fn served(&self, kind: Kind) -> Option<Order> {
        match kind {
            Kind::Config => self.tables.intent.served_config(),
            Kind::List => self.tables.intent.served_list(),
        }
    }

    fn unchanged(&self, kind: Kind, asked: Instant) {
        let journal = self.journal();
        match kind {
            Kind::Config => self.tables.intent.unchanged_config(asked, &journal),
            Kind::List => self.tables.intent.unchanged_list(asked, &journal),
        }
    }
}
