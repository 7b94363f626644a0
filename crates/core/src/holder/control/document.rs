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
    /// Handles the document that the platform returned for a read sent at `sent_at`.
    pub fn handle_platform_document(&self, kind: DocumentKind, bytes: &[u8], sent_at: Instant) {
        let number = self.ports.parser().number(kind, bytes);
        let version = DocumentVersion::new(number, bytes);
        if self.served_version(kind) == Some(version) {
            self.mark_unchanged(kind, sent_at);
        } else {
            self.offer(kind, version, bytes, Source::Platform { sent_at });
        }
        self.tick_needed.notify_one();
    }

    /// Handles the platform's answer to a read sent at `sent_at` that it has no such document.
    pub fn handle_missing_document(&self, kind: DocumentKind, sent_at: Instant) {
        match kind {
            DocumentKind::Config => self.tables.intent.mark_config_missing(sent_at),
            DocumentKind::List => self.tables.intent.mark_list_missing(sent_at),
        }
        self.tick_needed.notify_one();
    }

    /// Offers a document to the table of documents in force.
    pub(super) fn offer(
        &self,
        kind: DocumentKind,
        version: DocumentVersion,
        bytes: &[u8],
        source: Source<'_>,
    ) -> Decision {
        let now = self.clock().now();
        let intent = &self.tables.intent;
        let parser = self.ports.parser();
        let journal = self.journal();
        let decision = match kind {
            DocumentKind::Config => {
                intent.offer_config(now, version, parser.config(bytes), bytes, source, &journal)
            }
            DocumentKind::List => {
                intent.offer_list(now, version, parser.list(bytes), bytes, source, &journal)
            }
        };
        if decision == Decision::Accepted {
            self.tick_needed.notify_one();
        }
        decision
    }

    /// Version of the document in the platform's last answer.
    fn served_version(&self, kind: DocumentKind) -> Option<DocumentVersion> {
        match kind {
            DocumentKind::Config => self.tables.intent.served_config_version(),
            DocumentKind::List => self.tables.intent.served_list_version(),
        }
    }

    fn mark_unchanged(&self, kind: DocumentKind, sent_at: Instant) {
        let journal = self.journal();
        match kind {
            DocumentKind::Config => self.tables.intent.mark_config_unchanged(sent_at, &journal),
            DocumentKind::List => self.tables.intent.mark_list_unchanged(sent_at, &journal),
        }
    }
}
