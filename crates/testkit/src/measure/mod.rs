//! Measurements of entries: what they add to a call, what they cost, and how they serve under load.
//!
//! Each subject is a function that starts a fleet of its own, puts a bounded load on it and returns a [`Table`]. CPU
//! time and memory come from `/proc/PID`, bytes from the entry's own counters (`/metrics`), latencies from the records
//! of the load tool. Nothing is estimated, but for the heads of reads from the platform, which the entry does not
//! count; they are taken from an equal read.

mod added;
mod control;
mod error;
mod mixed;
mod policy;
mod probing;
mod scrape;
mod setup;
mod slope;
mod slowdown;
mod table;
mod throughput;
mod usage;

pub use self::added::Added;
pub use self::control::Control;
pub use self::error::Error;
pub use self::mixed::Mixed;
pub use self::policy::Policy;
pub use self::probing::Probing;
pub use self::scrape::Scrape;
pub use self::slope::Slope;
pub use self::table::Table;
pub use self::throughput::Throughput;
pub use self::usage::Usage;
