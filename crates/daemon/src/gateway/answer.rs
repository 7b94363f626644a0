//! Answers that the entry creates itself, instead of passing on a server's.

use bytes::Bytes;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::Full;
use volo_http::response::Response;

/// An answer with this status and no body.
pub(super) fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// An answer with status 200 and a body of this media type.
pub(super) fn ok_with_body(body: Vec<u8>, media_type: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(media_type));
    response
}
