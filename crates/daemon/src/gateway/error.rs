use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

quick_error! {
    /// Why the entry cannot start or run.
    #[derive(Debug)]
    pub enum Error {
        /// The variable with the path of the settings file is not set.
        UnsetVariable(variable: &'static str) {
            display("the environment variable {} is not set", variable)
        }
        /// The settings file cannot be read.
        File(path: String, err: io::Error) {
            source(err)
            display("cannot read the settings file {}: {}", path, err)
        }
        /// The settings file is not valid.
        Settings(err: jackdawpin_platform::Error) {
            from()
            source(err)
            display("the settings file is not valid: {}", err)
        }
        /// The worker threads could not be started.
        Runtime(err: io::Error) {
            source(err)
            display("cannot start the worker threads: {}", err)
        }
        /// The handler of a signal could not be registered.
        Signal(err: io::Error) {
            source(err)
            display("cannot receive signals: {}", err)
        }
        /// An address could not be bound.
        Bind(address: SocketAddr, err: io::Error) {
            source(err)
            display("cannot listen on {}: {}", address, err)
        }
        /// The log could not be started.
        Log(err: crate::logs::Error) {
            from()
            source(err)
            display("{}", err)
        }
    }
}
