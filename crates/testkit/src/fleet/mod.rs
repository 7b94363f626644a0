//! Starts the daemon and the stand-ins as child processes on loopback addresses of their own.
//!
//! [`Fleet::start`] writes the two documents and starts the platform and the servers; [`Fleet::start_entries`] starts
//! the daemons. Each VM is known by its name: `e1`, `e2`, ... are entries, `SERVICE-1`, `SERVICE-2`, ... are servers,
//! spread evenly over the failure domains `d1`, `d2`, .... Processes can be killed, paused and stopped by name, and
//! all of them are killed when the fleet is dropped. What they write to the standard error goes to files in a
//! temporary folder, which is kept when the test panics.

mod addresses;
mod documents;
mod error;
mod launch;
mod layout;
mod loopback_address;
mod process;
mod programs;
mod run;
mod timeline;

pub use self::documents::Documents;
pub use self::documents::Vm;
pub use self::documents::VmRole;
pub use self::documents::VmState;
pub use self::error::Error;
pub use self::layout::Layout;
pub use self::layout::Service;
pub use self::loopback_address::LoopbackAddress;
pub use self::process::Process;
pub use self::programs::Program;
pub use self::programs::Programs;
pub use self::run::Fleet;
pub use self::timeline::RecordedEvent;
pub use self::timeline::fetch_timeline;
pub use self::timeline::merge_timelines;

/// Port for callers, of servers and of the platform.
pub const REQUEST_PORT: u16 = 7000;
/// Port of the entries' control listener.
pub const CONTROL_PORT: u16 = 7001;
