//! Test doubles of the platform, of servers and of callers, for tests and the demonstration.
//!
//! The doubles of the platform and of a server are each a model without I/O, which takes the time
//! as an argument, and an HTTP adapter around it; the double of a caller is a load generator. The
//! programs in `examples` run them as separate processes; [`fleet`] starts them together with the
//! daemon.

pub mod caller;
pub mod fleet;
pub mod http;
pub mod measure;
pub mod platform;
pub mod server;
pub mod style;
