//! What the head of a request says.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderName;
use http::request::Parts;

use crate::headers;
use jackdawpin_core::request::Content;
use jackdawpin_platform::http as platform_http;

/// The host that a request names; empty if there is none.
pub(super) fn host(parts: &Parts) -> &str {
    headers::text(&parts.headers, &http::header::HOST).unwrap_or_default()
}

/// The value of the header field `name`, if it is there and is text.
pub(super) fn header_text<'a>(parts: &'a Parts, name: &'static str) -> Option<&'a str> {
    headers::text(&parts.headers, &HeaderName::from_static(name))
}

/// The time for which the caller waits, if a valid header field says so.
pub(super) fn caller_timeout(parts: &Parts, id: &str) -> Option<Duration> {
    let value = parts.headers.get(platform_http::TIME_LEFT)?;
    let millis = value.to_str().ok().and_then(|text| text.parse().ok());
    if millis.is_none() {
        log::warn!(
            "event=request id={id} field={} error=\"cannot read {value:?}\"",
            platform_http::TIME_LEFT
        );
    }
    millis.map(Duration::from_millis)
}

/// Whether a head has more than `limit` bytes in each way to count them. The platform does not say
/// whether the request line counts, so that the line and the fields are held to the limit each.
pub(super) fn is_large_head(parts: &Parts, limit: usize) -> bool {
    // The space after the colon is optional, and the parser does not tell whether it was there.
    const FIELD_OVERHEAD: usize = ":\r\n".len();
    let target = parts.uri.path_and_query().map_or(1, |target| target.as_str().len());
    let line = parts.method.as_str().len() + target + "  HTTP/1.1\r\n".len();
    let fields = parts.headers.iter();
    let field_bytes: usize =
        fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_OVERHEAD).sum();
    line.max(field_bytes) > limit
}

/// The parts of a request that its server receives.
pub(super) fn content(parts: &Parts, body: Bytes) -> Content {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    Content {
        method: parts.method.as_str().into(),
        path: path.into(),
        headers: headers::forwarded_except(&parts.headers, &[]),
        body,
    }
}
