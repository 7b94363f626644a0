//! Errors of reads from the platform.

use std::time::Duration;

use quick_error::quick_error;

use super::MAX_VALUE_BYTES;
use super::http::READ_TIMEOUT;
use crate::exchange;

quick_error! {
    /// Why a read failed.
    #[derive(Debug)]
    pub enum Error {
        /// No connection was established, or it broke before the end of the answer.
        Exchange(error: exchange::Error) {
            display("{}", error)
            source(error)
        }
        /// The request could not be built.
        Request(error: http::Error) {
            display("{}", error)
            source(error)
            from()
        }
        /// No answer came within the time limit of a read.
        Timeout(limit: Duration) {
            display("no answer within {} ms", limit.as_millis())
        }
        /// The key does not exist.
        NotFound {
            display("the key does not exist")
        }
        /// The status is neither 200 nor 404.
        Status(status: u16) {
            display("status {}", status)
        }
        /// The value is larger than the platform allows.
        Large(limit: usize) {
            display("the value has more than {} bytes", limit)
        }
        /// The answer does not have the format of the API.
        Format(problem: String) {
            display("{}", problem)
        }
    }
}

impl From<exchange::Error> for Error {
    fn from(error: exchange::Error) -> Self {
        match error {
            // The limit of an answer is derived from the limit of its value, which is reported.
            exchange::Error::Large(_) => Error::Large(MAX_VALUE_BYTES),
            exchange::Error::Timeout => Error::Timeout(READ_TIMEOUT),
            other => Error::Exchange(other),
        }
    }
}

impl From<serde_json::Error> for Error {
    fn from(error: serde_json::Error) -> Self {
        Error::Format(format!("the answer is not the JSON expected: {error}"))
    }
}

impl From<base64::DecodeError> for Error {
    fn from(error: base64::DecodeError) -> Self {
        Error::Format(format!("the value is not base64: {error}"))
    }
}
