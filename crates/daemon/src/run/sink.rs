//! Passes the results of reads from the platform on to the decisions.

use std::sync::Arc;

use crate::metrics::EntryMetrics;
use crate::platform;
use crate::platform::Document;
use crate::platform::Error;
use jackdawpin_core::holder::control::Control;
use jackdawpin_core::holder::control::DocumentKind;
use jackdawpin_core::holder::port::Ports;
use jackdawpin_core::time::Instant;

/// Counts the reads from the platform and passes their results on to [`Control`].
pub(super) struct Sink<O> {
    control: Arc<Control<O>>,
    metrics: EntryMetrics,
}

impl<O: Ports> Sink<O> {
    pub(super) fn new(control: Arc<Control<O>>, metrics: EntryMetrics) -> Self {
        Self { control, metrics }
    }
}

impl<O: Ports> platform::Sink for Sink<O> {
    fn received(&self, document: Document, value: &[u8], sent_at: Instant) {
        self.metrics.platform_reads.inc();
        self.metrics.platform_value_bytes.inc_by(value.len() as u64);
        self.control.handle_platform_document(kind(document), value, sent_at);
    }

    fn failed(&self, document: Document, error: &Error, sent_at: Instant) {
        self.metrics.platform_failures.inc();
        log::debug!("read of {document} from the platform failed: {error}");
        if matches!(error, Error::NotFound) {
            self.control.handle_missing_document(kind(document), sent_at);
        }
    }
}

fn kind(document: Document) -> DocumentKind {
    match document {
        Document::Config => DocumentKind::Config,
        Document::Vms => DocumentKind::List,
    }
}
