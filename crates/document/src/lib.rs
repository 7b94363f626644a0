//! Reads and checks the documents that the platform publishes: the configuration (TOML) and the VM
//! list (JSON).
//!
//! Reading is a pure conversion from text to the validated types of `jackdawpin_core`. Ranges and
//! other rules are decided there; this crate finds the place of each fault in the text. It reports
//! as many faults as it can find in one pass, so that operators do not have to publish a document
//! once per mistake.

pub mod config;
mod fault;
pub mod vms;

use xxhash_rust::xxh3::xxh3_64;

use crate::fault::Log;

pub use self::fault::Fault;
pub use self::fault::Faults;

/// Largest document in bytes: the platform stores values of up to 1 MB.
pub const MAX_SIZE: usize = 1 << 20;

/// The text of a document.
///
/// # Errors
///
/// The place of the first byte that is not UTF-8.
pub fn text(bytes: &[u8]) -> Result<&str, Faults> {
    std::str::from_utf8(bytes).map_err(|error| {
        let (valid, _) = bytes.split_at(error.valid_up_to());
        let valid = String::from_utf8_lossy(valid);
        let mut log = Log::new(&valid);
        log.whole(valid.len(), "the text is not UTF-8");
        log.faults()
    })
}

/// Digest that orders documents of the same revision or version: xxh3, 64 bits.
pub fn digest(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}
