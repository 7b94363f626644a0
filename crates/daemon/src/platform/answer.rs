//! Decodes an answer of the key-value API.

use std::borrow::Cow;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;

use super::Error;

/// Largest value that the platform stores, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Largest body of an answer in bytes: the value in base64, which takes 4 bytes for 3, and 4096
/// bytes for the other fields.
pub(super) const MAX_BODY_BYTES: usize = MAX_VALUE_BYTES / 3 * 4 + 4096;

/// The answer to a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Index of the value, which the next read names.
    pub index: u64,
    /// The value of the key.
    pub value: Vec<u8>,
}

/// The fields of a key-value entry that are read.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Entry<'a> {
    #[serde(borrow)]
    key: Cow<'a, str>,
    /// `null` for an empty value.
    #[serde(borrow)]
    value: Option<Cow<'a, str>>,
}

/// Decodes the value of `key` in `body`.
///
/// # Errors
///
/// The body is not a JSON array of one entry of `key`, or the value is not base64 or too large.
pub(super) fn parse_value(body: &[u8], key: &str) -> Result<Vec<u8>, Error> {
    let entries: Vec<Entry<'_>> = serde_json::from_slice(body)?;
    let [entry] = entries.as_slice() else {
        return Err(Error::Format(format!("expected 1 entry, found {}", entries.len())));
    };
    if entry.key != key {
        return Err(Error::Format(format!("expected key {key:?}, found {:?}", entry.key)));
    }
    let value = STANDARD.decode(entry.value.as_deref().unwrap_or_default())?;
    if value.len() > MAX_VALUE_BYTES {
        return Err(Error::Large(MAX_VALUE_BYTES));
    }
    Ok(value)
}

/// Parses the header field with the index.
///
/// # Errors
///
/// The field is missing or is not a number.
pub(super) fn parse_index(field: Option<&[u8]>) -> Result<u64, Error> {
    field
        .and_then(|bytes| std::str::from_utf8(bytes).ok())
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| Error::Format("no valid index in the header fields".to_owned()))
}
