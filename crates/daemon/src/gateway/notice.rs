//! Reads what a server says of itself in the header fields of its answers.

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;

use jackdawpin_core::direct::port::NamedLimit;
use jackdawpin_core::direct::port::Notice;
use jackdawpin_core::direct::rate_limit::RateLimit;
use jackdawpin_platform::http as platform_http;

/// What the server at `address` says of itself in an answer.
pub(super) fn parse<B>(address: SocketAddr, response: &Response<B>) -> Notice {
    let headers = response.headers();
    let turned_away = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    Notice {
        rate_limit: named_limit(address, headers),
        leaving: is_leaving(address, headers),
        pause: turned_away.then(|| pause(address, headers)).flatten(),
    }
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
pub(super) fn is_leaving(address: SocketAddr, headers: &HeaderMap) -> bool {
    headers.get_all(platform_http::LEAVING).iter().any(|value| {
        let field = platform_http::LEAVING;
        parse_field(address, field, value, platform_http::parse_leaving) == Some(true)
    })
}

/// The longest of the pauses that the fields of a refusal state.
fn pause(address: SocketAddr, headers: &HeaderMap) -> Option<Duration> {
    let field = platform_http::RETRY_AFTER;
    let values = headers.get_all(field).iter();
    let pauses = values
        .filter_map(|value| parse_field(address, field, value, platform_http::parse_retry_after));
    pauses.max()
}
