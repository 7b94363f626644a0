use std::sync::Arc;

use crate::metrics::Entry;
use crate::platform;
use crate::platform::Error;
use crate::platform::Key;
use jackdawpin_core::holder::control::Control;
use jackdawpin_core::holder::control::DocumentKind;
use jackdawpin_core::holder::port::Ports;
use jackdawpin_core::time::Instant;

/// Hands what the platform answers to the decisions, and counts it.
pub(super) struct Sink<O> {
    control: Arc<Control<O>>,
    metrics: Entry,
}

impl<O: Ports> Sink<O> {
    pub(super) fn new(control: Arc<Control<O>>, metrics: Entry) -> Self {
        Self { control, metrics }
    }
}

impl<O: Ports> platform::Sink for Sink<O> {
    fn read(&self, key: Key, value: &[u8], asked: Instant) {
        self.metrics.platform_reads.inc();
        self.metrics.platform_bytes.inc_by(value.len() as u64);
        self.control.handle_platform_document(kind(key), value, asked);
    }

    fn failed(&self, key: Key, error: &Error, asked: Instant) {
        self.metrics.platform_failures.inc();
        log::debug!("read of {key} from the platform failed: {error}");
        if matches!(error, Error::Absent) {
            self.control.handle_missing_document(kind(key), asked);
        }
    }
}

fn kind(key: Key) -> DocumentKind {
    match key {
        Key::Config => DocumentKind::Config,
        Key::Vms => DocumentKind::List,
    }
}
