//! Errors that keep the daemon from running.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

quick_error! {
    /// Why the daemon cannot run.
    #[derive(Debug)]
    pub enum Error {
        /// The worker threads could not be started.
        Runtime(err: io::Error) {
            source(err)
            display("cannot start the worker threads: {}", err)
        }
        /// Signals cannot be received.
        Signal(err: io::Error) {
            source(err)
            display("cannot receive signals: {}", err)
        }
        /// A listener could not be bound.
        Bind(name: &'static str, address: SocketAddr, err: io::Error) {
            source(err)
            display("cannot listen on {} (--{}): {}", address, name, err)
        }
    }
}
