//! Stand-ins of the platform, of servers and of callers, for tests and the demonstration.
//!
//! Each stand-in is a model without I/O, which takes the time as an argument, and an HTTP adapter around it. The
//! programs in `examples` run the adapters as separate processes; [`fleet`] starts them together with the daemon.

pub mod caller;
pub mod fleet;
pub mod http;
pub mod measure;
pub mod platform;
pub mod server;
pub mod style;
