//! Runs the daemon and the stand-ins as child processes, each on its own loopback address.
//!
//! [`Fleet::start`] writes the two documents and starts the platform and the servers;
//! [`Fleet::start_entries`] starts the daemons. VMs are addressed by name: `e1`, `e2`, ... are
//! entries, `SERVICE-1`, `SERVICE-2`, ... are servers, assigned to the failure domains `d1`, `d2`,
//! ... in turn. Processes can be killed, suspended and terminated by name; dropping the fleet kills
//! all that still run. Their standard output and standard error go to log files in a temporary
//! folder, which is kept if the test panics.

mod addresses;
mod command_line;
mod documents;
mod error;
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

/// Port on which entries accept callers, and on which servers and the platform listen.
pub const REQUEST_PORT: u16 = 7000;
/// Port on which entries accept peers and operators.
pub const CONTROL_PORT: u16 = 7001;
