//! Parses and checks the documents that the platform publishes: the configuration (TOML) and the VM
//! list (JSON).
//!
//! Parsing is a pure conversion from text to the validated types of `jackdawpin_core`, which define
//! the ranges and other rules; this crate finds the position of each fault in the text. It reports
//! as many faults as it can find in one pass, so that operators do not have to publish a document
//! once per mistake.

pub mod config;
mod fault;
pub mod vm_list;

use xxhash_rust::xxh3::xxh3_64;

use crate::fault::FaultCollector;

pub use self::fault::Fault;
pub use self::fault::Faults;

/// Largest document in bytes. The platform stores values of up to 1 MB.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// Decodes the text of a document.
///
/// # Errors
///
/// The position of the first byte that is not UTF-8.
pub fn decode_text(bytes: &[u8]) -> Result<&str, Faults> {
    std::str::from_utf8(bytes).map_err(|error| {
        let (valid, _) = bytes.split_at(error.valid_up_to());
        let valid = String::from_utf8_lossy(valid);
        let mut faults = FaultCollector::new(&valid);
        faults.add_document_fault(valid.len(), "the text is not UTF-8");
        faults.into_faults()
    })
}

/// Digest that orders documents of the same revision or version: xxh3, 64 bits.
pub fn digest(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}
