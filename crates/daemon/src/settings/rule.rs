//! Rules for the values of settings, and parsers of these values.

use std::fmt;
use std::net::SocketAddr;

use jackdawpin_core::name;

/// Longest key in bytes, the limit of the platform's API.
const MAX_KEY_BYTES: usize = 512;

/// Which values a setting may have.
#[derive(Debug, PartialEq, Eq)]
pub enum Rule {
    /// A name as in [`jackdawpin_core::name`].
    Name,
    /// `IP:PORT`.
    Address,
    /// `http://IP:PORT`.
    Url,
    /// A list of `IP:PORT`, separated by commas; it may be empty.
    Addresses {
        /// Largest number of addresses.
        max: usize,
    },
    /// A whole number.
    Number {
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// One of several words.
    Choice(&'static [&'static str]),
    /// A key of the platform's configuration service.
    Key,
}

impl Rule {
    /// Whether `text` may be passed to the parser of the setting. The parser of log levels also
    /// accepts "off" and ignores case, so the words of a [`Rule::Choice`] are compared here.
    pub(super) fn permits(&self, text: &str) -> bool {
        match self {
            Rule::Choice(words) => words.contains(&text),
            _ => true,
        }
    }
}

impl fmt::Display for Rule {
    /// The allowed range, for `--help` and messages.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rule::Name => write!(
                f,
                "1 to {} letters, digits, '-', '_' or '.', the first a letter or digit",
                name::MAX_LEN
            ),
            Rule::Address => write!(f, "IP:PORT with a port from 1 to 65535"),
            Rule::Url => write!(f, "http://IP:PORT with a port from 1 to 65535"),
            Rule::Addresses { max } => write!(f, "0 to {max} of IP:PORT, separated by commas"),
            Rule::Number { min, max } => write!(f, "{min}..={max}"),
            Rule::Choice(words) => write!(f, "{}", words.join("|")),
            Rule::Key => write!(
                f,
                "1 to {MAX_KEY_BYTES} letters, digits, '-', '_', '.' or '/', \
                 no empty part between '/'"
            ),
        }
    }
}

/// Parses `IP:PORT`. Port 0 is not allowed, because nobody could connect to it.
pub(super) fn address(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    (address.port() != 0).then_some(address)
}

/// Parses `http://IP:PORT`.
pub(super) fn url(text: &str) -> Option<SocketAddr> {
    let rest = text.strip_prefix("http://")?;
    address(rest.strip_suffix('/').unwrap_or(rest))
}

/// Parses at most `max` addresses separated by commas, in the order given; duplicates are dropped.
pub(super) fn addresses(text: &str, max: usize) -> Option<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    if text.trim().is_empty() {
        return Some(addresses);
    }
    for part in text.split(',') {
        let next = address(part.trim())?;
        if !addresses.contains(&next) {
            addresses.push(next);
        }
    }
    (addresses.len() <= max).then_some(addresses)
}

/// Parses a whole number from `min` to `max`.
pub(super) fn number(text: &str, min: u64, max: u64) -> Option<u64> {
    let value: u64 = text.parse().ok()?;
    (min..=max).contains(&value).then_some(value)
}

/// Checks a key. The allowed characters need no escapes in a URL.
pub(super) fn key(text: &str) -> Option<&str> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    let is_valid = |part: &str| !part.is_empty() && part.chars().all(is_allowed);
    // "." and ".." are removed when a URL is normalised.
    let is_kept = |part: &str| part != "." && part != "..";
    let valid = text.len() <= MAX_KEY_BYTES && text.split('/').all(|p| is_valid(p) && is_kept(p));
    valid.then_some(text)
}
