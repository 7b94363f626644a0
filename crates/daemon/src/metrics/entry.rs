//! Metrics of the entry as a whole.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::labels::ReasonLabels;
use jackdawpin_core::outcome::Refusal;

/// Metrics of the entry as a whole.
#[derive(Debug, Clone, Default)]
pub struct EntryMetrics {
    /// Requests refused before a service of the configuration was found for them, by reason.
    unrouted: Family<ReasonLabels, Counter>,
    /// 1 while the entry refuses new work because it cannot know the operators' current
    /// intent, otherwise 0.
    pub fenced: Gauge,
    /// 1 while the entry serves callers, otherwise 0.
    pub ready: Gauge,
    /// Revision of the configuration in effect, 0 if there is none.
    pub config_revision: Gauge,
    /// Version of the list of VMs in effect, 0 if there is none.
    pub vms_version: Gauge,
    /// Number of live peers: those whose heartbeats arrive.
    pub peers_heard: Gauge,
    /// Bytes of all bodies that are buffered now.
    pub buffered_bytes: Gauge,
    /// Successful reads from the platform.
    pub platform_reads: Counter,
    /// Bytes of the values read from the platform, after decoding from base64.
    pub platform_value_bytes: Counter,
    /// Failed reads from the platform.
    pub platform_failures: Counter,
}

impl EntryMetrics {
    pub(super) fn new(registry: &mut Registry) -> Self {
        let entry = Self::default();
        let e = &entry;
        registry.register(
            "requests_unrouted",
            "Requests refused before a service of the configuration was found",
            e.unrouted.clone(),
        );
        registry.register("fenced", "1 while new work is refused by the fence", e.fenced.clone());
        registry.register("ready", "1 while the entry serves callers", e.ready.clone());
        registry.register(
            "config_revision",
            "Revision of the configuration in effect",
            e.config_revision.clone(),
        );
        registry.register(
            "vms_version",
            "Version of the list of VMs in effect",
            e.vms_version.clone(),
        );
        registry.register("peers_heard", "Peers whose heartbeats arrive", e.peers_heard.clone());
        registry.register("buffered_bytes", "Bytes of all bodies held", e.buffered_bytes.clone());
        registry.register(
            "platform_reads",
            "Good reads from the platform",
            e.platform_reads.clone(),
        );
        registry.register(
            "platform_value_bytes",
            "Bytes of the values read from the platform",
            e.platform_value_bytes.clone(),
        );
        registry.register(
            "platform_failures",
            "Failed reads from the platform",
            e.platform_failures.clone(),
        );
        entry
    }

    /// Counts a request that was refused before a service of the configuration was found for it.
    pub fn count_unrouted(&self, refusal: Refusal) {
        self.unrouted.get_or_create(&ReasonLabels::new(refusal)).inc();
    }
}
