//! Recognizes requests that are the same.

use std::fmt;

use bytes::Bytes;
use sha2::Digest;
use sha2::Sha256;

use crate::request::Content;

/// Length of a fingerprint in bytes.
pub const LEN: usize = 16;

/// Header fields that tell the target and the caller of a request. All others may differ between two
/// requests that do the same.
const FIELDS: [&str; 2] = ["host", "authorization"];

/// Identifies requests of the same caller that do the same: with the same method, host, path,
/// credentials and body. A cryptographic hash, so that no caller can find a request with the fingerprint of another
/// caller's, and so that entries need not exchange or keep the requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint([u8; LEN]);

impl Fingerprint {
    /// The bytes of the fingerprint.
    pub fn as_bytes(&self) -> &[u8; LEN] {
        &self.0
    }
}

impl From<&Content> for Fingerprint {
    fn from(content: &Content) -> Self {
        let mut hash = Sha256::new();
        // The length before each part keeps requests apart whose parts join to the same bytes.
        let mut add = |part: &[u8]| {
            hash.update(u64::try_from(part.len()).unwrap_or(u64::MAX).to_le_bytes());
            hash.update(part);
        };
        add(content.method.as_bytes());
        add(content.path.as_bytes());
        for name in FIELDS {
            let field = content.headers.iter().find(|field| &*field.name == name);
            add(field.map_or(&[][..], |field| Bytes::as_ref(&field.value)));
        }
        add(&content.body);
        let digest = hash.finalize();
        let mut bytes = [0; LEN];
        bytes.copy_from_slice(&digest[..LEN]);
        Self(bytes)
    }
}

impl From<[u8; LEN]> for Fingerprint {
    fn from(bytes: [u8; LEN]) -> Self {
        Self(bytes)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
