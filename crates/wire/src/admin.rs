use serde::Deserialize;
use serde::Serialize;

use crate::peer::DocumentVersion;
use crate::peer::Stamp;

/// One entry's status and its view of the fleet, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the entry's VM.
    pub vm: String,
    /// Its failure domain.
    pub domain: String,
    /// Version of the entry's program.
    pub program: String,
    /// Identifies the process; each start has another value.
    pub incarnation: u64,
    /// Time since the start, in milliseconds.
    pub uptime_ms: u64,
    /// Whether the entry serves callers.
    pub ready: bool,
    /// Whether the planned stop has begun.
    pub leaving: bool,
    /// Whether the entry refuses new work because its configuration and VM list may be out of date:
    /// it reaches neither the platform nor a majority of the entries.
    pub fenced: bool,
    /// Time since the last successful read of the platform, in milliseconds.
    pub platform_age_ms: Option<u64>,
    /// Configuration in force.
    pub config: Option<DocumentVersion>,
    /// The newest refused configuration and why, until a newer one is accepted.
    pub config_refused: Option<String>,
    /// VM list in force.
    pub vms: Option<DocumentVersion>,
    /// The newest refused VM list and why, until a newer one is accepted.
    pub vms_refused: Option<String>,
    /// Names in the configuration in force that the VM list in force does not have, one sentence
    /// each.
    #[serde(default)]
    pub unknown: Vec<String>,
    /// The other entries.
    pub entries: Vec<PeerStatus>,
    /// The services of the configuration.
    pub services: Vec<ServiceStatus>,
    /// Requests since the start.
    pub totals: Totals,
}

/// What an entry knows of another entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name of the VM.
    pub vm: String,
    /// Its control address.
    pub address: String,
    /// Whether the VM list says that it is leaving.
    pub leaving: bool,
    /// Time since its last heartbeat, in milliseconds; `None` if there was none.
    pub age_ms: Option<u64>,
}

/// State of a service on an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub name: String,
    /// Requests that wait in the queue of this entry.
    pub waiting: u32,
    /// Requests since the start.
    pub totals: Totals,
    /// Median latency of the requests answered in about the last minute, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the same latency, in microseconds.
    pub p99_us: u64,
    /// The servers that this entry holds.
    pub servers: Vec<ServerStatus>,
}

/// State of a server that the entry holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Name of the VM.
    pub vm: String,
    /// Its address.
    pub address: String,
    /// Its failure domain.
    pub domain: String,
    /// `cold`, `warming`, `warm` or `out`.
    pub state: String,
    /// Why it is in that state; for `out`, the operators' reason where there is one.
    pub why: String,
    /// Limit of requests in flight.
    pub limit: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Estimate of the usual latency, in microseconds.
    pub latency_us: u64,
    /// Probes sent since the entry began to hold the server.
    pub probes: u64,
}

/// Counts of requests by outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Totals {
    /// Admitted requests.
    pub accepted: u64,
    /// Requests with a complete answer.
    pub answered: u64,
    /// Requests that did not run.
    pub refused: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests whose caller closed its connection before the answer.
    pub abandoned: u64,
    /// Requests that have no outcome yet.
    pub in_flight: u64,
}

/// The section of the configuration that sets a value in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Origin {
    /// The fleet-wide defaults.
    Default,
    /// The service's own values.
    Service,
    /// An exception.
    Exception {
        /// The service, server or failure domain that it applies to.
        scope: String,
        /// Why it exists.
        reason: String,
    },
}

/// A value in force for a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Setting {
    /// Field of the configuration document.
    pub field: String,
    /// The value, as written in the document.
    pub value: String,
    /// The section that sets it.
    pub origin: Origin,
}

/// Which values are in force for a server, and why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The service.
    pub service: String,
    /// Name of the server's VM.
    pub server: String,
    /// Its failure domain.
    pub domain: String,
    /// Version of the configuration that sets the values.
    pub config: DocumentVersion,
    /// Why the server is out of service, if it is: the operators' reason, or that the VM list says
    /// that it is leaving.
    pub out: Option<String>,
    /// Name of the entry that should hold the server, in this entry's view.
    pub holder: Option<String>,
    /// The values in force.
    pub settings: Vec<Setting>,
}

/// An event on an entry's time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Number of the event on its entry, from 1.
    pub number: u64,
    /// Time of the event on the entry's hybrid logical clock.
    pub stamp: Stamp,
    /// Kind of the event.
    pub kind: String,
    /// Description of the event.
    pub text: String,
    /// The service that it concerns, if any.
    pub service: Option<String>,
    /// The VM that it concerns, if any.
    pub vm: Option<String>,
}

/// Consecutive events of an entry's time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelinePage {
    /// Name of the entry's VM.
    pub vm: String,
    /// The entry's incarnation; event numbers start from 1 in each.
    pub incarnation: u64,
    /// Number of requested events that the entry no longer has; they precede `events`.
    pub dropped: u64,
    /// The events, oldest first.
    pub events: Vec<Event>,
}
