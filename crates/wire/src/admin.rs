use serde::Deserialize;
use serde::Serialize;

use crate::peer::Order;
use crate::peer::Stamp;

/// One entry's view of the fleet, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the entry's VM.
    pub vm: String,
    /// Its failure domain.
    pub domain: String,
    /// Version of the program.
    pub program: String,
    /// Changes with each start of the process.
    pub incarnation: u64,
    /// Time since the start, in milliseconds.
    pub uptime_ms: u64,
    /// Whether the entry serves callers.
    pub ready: bool,
    /// Whether the planned stop has begun.
    pub leaving: bool,
    /// Whether new work is refused because the intent cannot be known.
    pub fenced: bool,
    /// Time since the platform was read, in milliseconds.
    pub platform_age_ms: Option<u64>,
    /// Configuration in force.
    pub config: Option<Order>,
    /// The newest refused configuration and why, until a newer one is accepted.
    pub config_refused: Option<String>,
    /// VM list in force.
    pub vms: Option<Order>,
    /// The newest refused VM list and why, until a newer one is accepted.
    pub vms_refused: Option<String>,
    /// Names in the configuration in force that the VM list in force does not have, as sentences.
    #[serde(default)]
    pub unknown: Vec<String>,
    /// The other entries.
    pub entries: Vec<Entry>,
    /// Per service of the configuration.
    pub services: Vec<Service>,
    /// Requests since the start.
    pub totals: Totals,
}

/// What an entry knows of another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the VM.
    pub vm: String,
    /// Its control address.
    pub address: String,
    /// Whether the VM list says that it is leaving.
    pub leaving: bool,
    /// Time since it was heard, in milliseconds.
    pub age_ms: Option<u64>,
}

/// What an entry knows of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Requests that wait on this entry.
    pub waiting: u32,
    /// Requests since the start.
    pub totals: Totals,
    /// Latency of answered requests over the last minute at most, in microseconds: median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// The servers that this entry holds.
    pub servers: Vec<Server>,
}

/// A held server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
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
    /// Requests that may be in flight.
    pub limit: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Estimate of the usual latency, in microseconds.
    pub latency_us: u64,
    /// Probes sent since the server is held.
    pub probes: u64,
}

/// Counts of requests by outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Totals {
    /// Admitted requests.
    pub accepted: u64,
    /// Requests with a whole answer.
    pub answered: u64,
    /// Requests that did not run.
    pub refused: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests whose caller went away.
    pub abandoned: u64,
    /// Requests that have no outcome yet.
    pub in_flight: u64,
}

/// Where a value in force comes from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Origin {
    /// The fleet-wide defaults.
    Default,
    /// The service's own values.
    Service,
    /// An exception.
    Exception {
        /// What it applies to.
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
    /// Where it comes from.
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
    /// The configuration that the values are from.
    pub config: Order,
    /// Why the server receives no new work, if operators took it out of service.
    pub out: Option<String>,
    /// Name of the entry that should hold the server, in this entry's view.
    pub holder: Option<String>,
    /// The values.
    pub settings: Vec<Setting>,
}

/// An event on an entry's time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Number of the event on its entry, from 1.
    pub number: u64,
    /// When it happened on the hybrid logical clock.
    pub stamp: Stamp,
    /// Kind of the event.
    pub kind: String,
    /// The event in words.
    pub text: String,
    /// The service it is about, if any.
    pub service: Option<String>,
    /// The VM it is about, if any.
    pub vm: Option<String>,
}

/// A part of an entry's time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Name of the entry's VM.
    pub vm: String,
    /// The entry's incarnation; event numbers start again with it.
    pub incarnation: u64,
    /// Events between those asked for and the first one here that the entry no longer has.
    pub dropped: u64,
    /// The events, oldest first.
    pub events: Vec<Event>,
}
