//! What the value of a setting may be.

use std::fmt;
use std::net::SocketAddr;

use jackdawpin_core::name;

/// Longest key in bytes, the limit of the platform's API.
const MAX_KEY_LEN: usize = 512;

/// What the value of a setting may be.
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
    /// Whether the rule lets `text` through to its parser. The parser of log levels also knows
    /// "off" and ignores case, so that the words of a [`Rule::Choice`] are compared here.
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
                "1 to {MAX_KEY_LEN} letters, digits, '-', '_', '.' or '/', no empty part between '/'"
            ),
        }
    }
}

/// Reads `IP:PORT`; a port of 0 has no meaning to others and is refused.
pub(super) fn address(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    (address.port() != 0).then_some(address)
}

/// Reads `http://IP:PORT`.
pub(super) fn url(text: &str) -> Option<SocketAddr> {
    let rest = text.strip_prefix("http://")?;
    address(rest.strip_suffix('/').unwrap_or(rest))
}

/// Reads at most `max` addresses separated by commas, in the order given, each one once.
pub(super) fn addresses(text: &str, max: usize) -> Option<Vec<SocketAddr>> {
    let mut found = Vec::new();
    if text.trim().is_empty() {
        return Some(found);
    }
    for part in text.split(',') {
        let next = address(part.trim())?;
        if !found.contains(&next) {
            found.push(next);
        }
    }
    (found.len() <= max).then_some(found)
}

/// Reads a whole number from `min` to `max`.
pub(super) fn number(text: &str, min: u64, max: u64) -> Option<u64> {
    let value: u64 = text.parse().ok()?;
    (min..=max).contains(&value).then_some(value)
}

/// Checks a key. The characters allowed need no escapes in a URL.
pub(super) fn key(text: &str) -> Option<&str> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    let part = |part: &str| !part.is_empty() && part.chars().all(allowed);
    // "." and ".." are removed when a URL is normalised.
    let plain = |part: &str| part != "." && part != "..";
    let valid = text.len() <= MAX_KEY_LEN && text.split('/').all(|p| part(p) && plain(p));
    valid.then_some(text)
}
