use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

use crate::name;
use crate::time::Instant;

/// Place of a document in the order of acceptance. The derived comparison is the order: by number,
/// then by digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DocumentVersion {
    /// Revision of a configuration or version of a VM list; 0 if the document is too damaged to
    /// tell.
    pub number: u64,
    /// xxh3 digest of the document's bytes. It decides between two documents with the same number.
    pub digest: u64,
}

impl DocumentVersion {
    /// The place of the document with the given number and bytes.
    pub fn new(number: u64, bytes: &[u8]) -> Self {
        Self { number, digest: xxh3_64(bytes) }
    }
}

impl fmt::Display for DocumentVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({:016x})", self.number, self.digest)
    }
}

/// Where an offered document comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source<'a> {
    /// The platform, in answer to a read sent at `asked`. The time of the answer would not do: an
    /// entry that wakes up from a pause finds answers that are as old as the pause.
    Platform {
        /// When the read was sent.
        sent_at: Instant,
    },
    /// Another entry.
    Peer(&'a name::Vm),
}

/// What became of an offered document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Decision {
    /// The document is now in force.
    Accepted,
    /// The document was in force already.
    InForce,
    /// The document comes before the one in force, which stays.
    Older,
    /// The document is not valid; the one in force, if any, stays.
    Refused,
}
