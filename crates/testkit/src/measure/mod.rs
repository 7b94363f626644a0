//! Measurements of entries: what they add to a call, what they cost, and how they serve under load.
//!
//! Each measurement is a type with a `run` function, which starts a fleet of its own, applies a
//! bounded load and returns a [`Table`] or several. CPU time and memory are read from `/proc/PID`,
//! byte counts from the entry's counters (`/metrics`), latencies from the callers' records. Only
//! the sizes of the message heads in reads from the platform are estimated, because the entry does
//! not count them: they are taken from a separate read of the same document.

mod added_latency;
mod control_cost;
mod degraded_service;
mod error;
mod linear_fit;
mod metrics_snapshot;
mod mixed_load;
mod probe_cost;
mod process_usage;
mod setup;
mod slowdown_injector;
mod table;
mod throughput;

pub use self::added_latency::AddedLatency;
pub use self::control_cost::ControlCost;
pub use self::degraded_service::DegradedService;
pub use self::error::Error;
pub use self::linear_fit::LinearFit;
pub use self::metrics_snapshot::MetricsSnapshot;
pub use self::mixed_load::MixedLoad;
pub use self::probe_cost::ProbeCost;
pub use self::process_usage::ProcessUsage;
pub use self::table::Table;
pub use self::throughput::Throughput;
