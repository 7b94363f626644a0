//! Header fields: which are passed through, and the ones that the system adds.

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

use jackdawpin_core::request::Header;

/// Identity of a request, echoed by servers.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Number of the attempt, echoed by servers.
pub const ATTEMPT: HeaderName = HeaderName::from_static("x-attempt");

/// Time until the requester stops waiting, in milliseconds.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("x-request-timeout-ms");

/// Whether the request is idempotent: `true` or `false`.
pub const IDEMPOTENT: HeaderName = HeaderName::from_static("x-idempotent");

/// How a request ended: `answered`, `refused` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("x-outcome");

/// Value of [`OUTCOME`] for a request that did not run.
pub const OUTCOME_REFUSED: &str = "refused";

/// Why it was refused or is unknown.
pub const OUTCOME_REASON: HeaderName = HeaderName::from_static("x-outcome-reason");

/// Set by a server that did not run the request.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

/// Load report of a server, in the JSON form of the Open Request Cost Aggregation standard.
pub const LOAD_REPORT: HeaderName = HeaderName::from_static("endpoint-load-metrics");

/// Fields that concern a single connection (RFC 9110, section 7.6.1) or the message's framing.
const CONNECTION_FIELDS: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Fields that this system sets.
pub const RESERVED_FIELDS: [&str; 9] = [
    "endpoint-load-metrics",
    "host",
    "x-attempt",
    "x-idempotent",
    "x-not-run",
    "x-outcome",
    "x-outcome-reason",
    "x-request-id",
    "x-request-timeout-ms",
];

fn is_forwarded(name: &HeaderName, own: &[&str]) -> bool {
    CONNECTION_FIELDS.binary_search(&name.as_str()).is_err() && !own.contains(&name.as_str())
}

/// The fields of `map` that are passed through. Fields that `connection` names are left out, too.
pub fn forwarded(map: &HeaderMap) -> Vec<Header> {
    forwarded_except(map, &RESERVED_FIELDS)
}

/// The fields of `map` other than those in `own` and those that concern a single connection.
pub fn forwarded_except(map: &HeaderMap, own: &[&str]) -> Vec<Header> {
    let named = |name: &HeaderName| {
        map.get_all(http::header::CONNECTION)
            .iter()
            .filter_map(|value| value.to_str().ok())
            .flat_map(|value| value.split(','))
            .any(|token| token.trim().eq_ignore_ascii_case(name.as_str()))
    };
    map.iter()
        .filter(|(name, _)| is_forwarded(name, own) && !named(name))
        .map(|(name, value)| Header {
            name: name.as_str().into(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Adds fields to `map`, other than those in `own`. Fields that are not valid are left out; a peer of
/// another version could send some.
pub fn extend_except<'a>(
    map: &mut HeaderMap,
    fields: impl IntoIterator<Item = (&'a str, &'a [u8])>,
    own: &[&str],
) {
    for (name, value) in fields {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value)
            && is_forwarded(&name, own)
        {
            map.append(name, value);
        }
    }
}

/// The text of a field, if it is there and is visible ASCII.
pub fn text<'a>(map: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    map.get(name).and_then(|value| value.to_str().ok())
}
