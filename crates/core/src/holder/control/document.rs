use super::Control;
use super::DocumentKind;
use crate::holder::intent::Decision;
use crate::holder::intent::DocumentVersion;
use crate::holder::intent::Source;
use crate::holder::port::Parser;
use crate::holder::port::Ports;
use crate::port::Clock;
use crate::time::Instant;

impl<O: Ports> Control<O> {
    /// Takes over what the platform answered to a read sent at `asked`.
    pub fn handle_platform_document(&self, kind: DocumentKind, bytes: &[u8], asked: Instant) {
        let number = self.ports.parser().number(kind, bytes);
        let order = DocumentVersion::new(number, bytes);
        if self.served(kind) == Some(order) {
            self.unchanged(kind, asked);
        } else {
            self.offer(kind, order, bytes, Source::Platform { sent_at: asked });
        }
        self.changed.notify_one();
    }

    /// The platform answered a read sent at `asked` that it has no such document.
    pub fn handle_missing_document(&self, kind: DocumentKind, asked: Instant) {
        match kind {
            DocumentKind::Config => self.tables.intent.mark_config_missing(asked),
            DocumentKind::List => self.tables.intent.mark_list_missing(asked),
        }
        self.changed.notify_one();
    }

    /// Offers a document to the table of documents in force.
    pub(super) fn offer(
        &self,
        kind: DocumentKind,
        order: DocumentVersion,
        bytes: &[u8],
        source: Source<'_>,
    ) -> Decision {
        let now = self.clock().now();
        let intent = &self.tables.intent;
        let reader = self.ports.parser();
        let journal = self.journal();
        let decision = match kind {
            DocumentKind::Config => {
                intent.offer_config(now, order, reader.config(bytes), bytes, source, &journal)
            }
            DocumentKind::List => {
                intent.offer_list(now, order, reader.list(bytes), bytes, source, &journal)
            }
        };
        if decision == Decision::Accepted {
            self.changed.notify_one();
        }
        decision
    }

    /// Place of the document in the platform's last answer.
    fn served(&self, kind: DocumentKind) -> Option<DocumentVersion> {
        match kind {
            DocumentKind::Config => self.tables.intent.served_config_version(),
            DocumentKind::List => self.tables.intent.served_list_version(),
        }
    }

    fn unchanged(&self, kind: DocumentKind, asked: Instant) {
        let journal = self.journal();
        match kind {
            DocumentKind::Config => self.tables.intent.mark_config_unchanged(asked, &journal),
            DocumentKind::List => self.tables.intent.mark_list_unchanged(asked, &journal),
        }
    }
}
