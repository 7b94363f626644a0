use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

use crate::name;
use crate::time::Instant;

/// The version of a document. Versions are ordered by number and then by digest, as the derived
/// comparison does; a later version replaces an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DocumentVersion {
    /// Revision of a configuration or version of a VM list; 0 if the document is too damaged to
    /// state one.
    pub number: u64,
    /// xxh3 digest of the document's bytes. Orders documents with the same number.
    pub digest: u64,
}

impl DocumentVersion {
    /// The version of the document with the given number and bytes.
    pub fn new(number: u64, bytes: &[u8]) -> Self {
        Self { number, digest: xxh3_64(bytes) }
    }
}

impl fmt::Display for DocumentVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({:016x})", self.number, self.digest)
    }
}

/// The sender of an offered document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source<'a> {
    /// The platform, in answer to a read. The read counts from when it was sent, not from when the
    /// answer arrived: after a suspension, a process finds answers that are as old as the
    /// suspension.
    Platform {
        /// When the read was sent.
        sent_at: Instant,
    },
    /// Another entry.
    Peer(&'a name::Vm),
}

/// The decision about an offered document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Decision {
    /// The document came into force.
    Accepted,
    /// The document is already in force.
    InForce,
    /// The document has an earlier version than the one in force, which stays in force.
    Older,
    /// The document is not valid. The one in force, if any, stays in force.
    Refused,
}
