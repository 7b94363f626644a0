use std::io;

use quick_error::quick_error;

use crate::caller::Error as CallerError;
use crate::caller::LedgerError;
use crate::fleet::Error as FleetError;
use crate::http::Error as ExchangeError;

quick_error! {
    /// Why there is no measurement.
    #[derive(Debug)]
    pub enum Error {
        /// The fleet did not do what it was asked to.
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
        /// A server's ledger could not be had.
        Ledger(err: LedgerError) {
            from()
            display("{}", err)
            source(err)
        }
        /// An entry's counters could not be had.
        Exchange(err: ExchangeError) {
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
        /// A message or a document could not be decoded.
        Decode(what: &'static str, text: String) {
            display("{} cannot be read: {}", what, text)
        }
        /// A file of the operating system could not be read.
        Io(path: String, err: io::Error) {
            display("reading {}: {}", path, err)
            source(err)
        }
        /// A file of the operating system is not as expected.
        Malformed(path: String) {
            display("{} does not have the expected form", path)
        }
    }
}
