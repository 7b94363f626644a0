use std::io;

use quick_error::quick_error;

use crate::caller::Error as CallerError;
use crate::caller::LedgerError;
use crate::fleet::Error as FleetError;
use crate::http::Error as HttpError;

quick_error! {
    /// Failure of a measurement.
    #[derive(Debug)]
    pub enum Error {
        /// An operation on the fleet failed.
        Fleet(err: FleetError) {
            from()
            display("{}", err)
            source(err)
        }
        /// The load could not be started.
        Caller(err: CallerError) {
            from()
            display("{}", err)
            source(err)
        }
        /// A server's ledger could not be fetched.
        Ledger(err: LedgerError) {
            from()
            display("{}", err)
            source(err)
        }
        /// A request to a process failed, such as for an entry's counters.
        Http(err: HttpError) {
            from()
            display("{}", err)
            source(err)
        }
        /// A task failed.
        Task(err: tokio::task::JoinError) {
            from()
            display("a task failed: {}", err)
            source(err)
        }
        /// A message could not be decoded or a result not be encoded.
        Decode(what: &'static str, text: String) {
            display("{} cannot be encoded or decoded: {}", what, text)
        }
        /// A file below `/proc` could not be read.
        Io(path: String, err: io::Error) {
            display("reading {}: {}", path, err)
            source(err)
        }
        /// A file below `/proc` does not have the expected form.
        Malformed(path: String) {
            display("{} does not have the expected form", path)
        }
    }
}
