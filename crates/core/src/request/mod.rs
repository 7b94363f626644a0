//! Requests, as entries pass them from a caller to a server.

use std::fmt;

use bytes::Bytes;
use quick_error::quick_error;

use crate::name;
use crate::time::Instant;

/// Largest length of a request id in bytes.
pub const MAX_ID_LEN: usize = 64;

quick_error! {
    /// Why a text is not a request id.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The text is empty or longer than [`MAX_ID_LEN`] bytes.
        Length(len: usize) {
            display("a request id has 1 to {} bytes, this one has {}", MAX_ID_LEN, len)
        }
        /// The text has a character other than ASCII letters, digits, `-`, `_`, `.` and `:`.
        Character(found: char) {
            display("character {:?} is not allowed in a request id", found)
        }
    }
}

/// Identifies a request from admission to outcome, on all entries and servers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Id(Box<str>);

impl Id {
    /// Creates an id from 128 random bits, for a request whose caller gave none.
    pub fn from_bits(bits: u128) -> Self {
        Self(format!("{bits:032x}").into_boxed_str())
    }

    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for Id {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self, Error> {
        if text.is_empty() || text.len() > MAX_ID_LEN {
            return Err(Error::Length(text.len()));
        }
        match text.chars().find(|c| !c.is_ascii_alphanumeric() && !"-_.:".contains(*c)) {
            Some(found) => Err(Error::Character(found)),
            None => Ok(Self(text.into())),
        }
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A header field that is passed through unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Name of the field, in lower case.
    pub name: Box<str>,
    /// Value of the field.
    pub value: Bytes,
}

/// The part of a request that the server sees.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Content {
    /// HTTP method.
    pub method: Box<str>,
    /// Path and query, starting with `/`.
    pub path: Box<str>,
    /// Header fields that are passed through.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
}

/// A checked request, as stored while it is in flight.
#[derive(Debug, Clone)]
pub struct Request {
    /// Identity of the request.
    pub id: Id,
    /// Service that the request is for.
    pub service: name::Service,
    /// When this entry received the request.
    pub received: Instant,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Whether running the request twice has the same effect as running it once.
    pub idempotent: bool,
    /// The part that the server sees.
    pub content: Content,
}

/// One attempt: what an adapter needs to send a request to a server.
#[derive(Debug, Clone, Copy)]
pub struct Attempt<'a> {
    /// The request.
    pub request: &'a Request,
    /// Number of the attempt, from 1.
    pub number: u32,
    /// When the attempt must have ended; never after the deadline of the request.
    pub deadline: Instant,
    /// Largest body of the answer, in bytes.
    pub answer_limit: u64,
}
