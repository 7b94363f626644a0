//! Reads what a server says of itself in the header fields of its answers.

use std::net::SocketAddr;

use http::HeaderMap;
use http::HeaderValue;

use jackdawpin_core::direct::port::NamedLimit;
use jackdawpin_core::direct::port::Notice;
use jackdawpin_core::direct::rate_limit::RateLimit;
use jackdawpin_platform::http as platform_http;

/// What the server at `address` says of itself in an answer with these header fields.
pub(super) fn parse(address: SocketAddr, headers: &HeaderMap) -> Notice {
    Notice { rate_limit: named_limit(address, headers), leaving: is_leaving(address, headers) }
}

/// Parses a header field of an answer, and logs an invalid one.
pub(super) fn parse_field<T>(
    address: SocketAddr,
    name: &str,
    value: &HeaderValue,
    parse: impl Fn(&str) -> Option<T>,
) -> Option<T> {
    let result = value.to_str().ok().and_then(parse);
    if result.is_none() {
        log::warn!("event=answer address={address} field={name} error=\"cannot read {value:?}\"");
    }
    result
}

/// The lowest of the limits that the fields name. Invalid fields do not count beside a valid one.
fn named_limit(address: SocketAddr, headers: &HeaderMap) -> NamedLimit {
    let mut named = NamedLimit::None;
    for value in headers.get_all(platform_http::RATE_LIMIT) {
        let field = platform_http::RATE_LIMIT;
        let limit = parse_field(address, field, value, platform_http::parse_rate_limit);
        named = lower(named, limit);
    }
    named
}

/// `named`, or `limit` if that is lower. `None` is a limit that cannot be read.
fn lower(named: NamedLimit, limit: Option<RateLimit>) -> NamedLimit {
    match (named, limit) {
        (NamedLimit::Limit(known), Some(limit)) if known <= limit => named,
        (_, Some(limit)) => NamedLimit::Limit(limit),
        (NamedLimit::None, None) => NamedLimit::Unreadable,
        (_, None) => named,
    }
}

/// Whether one of the fields says that the server is leaving.
fn is_leaving(address: SocketAddr, headers: &HeaderMap) -> bool {
    headers.get_all(platform_http::LEAVING).iter().any(|value| {
        let field = platform_http::LEAVING;
        parse_field(address, field, value, platform_http::parse_leaving) == Some(true)
    })
}
