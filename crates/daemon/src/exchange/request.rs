//! Builds HTTP requests from the content of calls.

use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::Full;

use crate::headers;
use jackdawpin_core::request::Content;

/// Builds a request with the method, path, header fields and body of `content`. The fields in
/// `excluded`, which the caller of this function sets itself, are left out. `None` if the method or
/// path is not valid.
pub fn from_content(content: &Content, excluded: &[&str]) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(Method::from_bytes(content.method.as_bytes()).ok()?)
        .uri(&*content.path)
        .body(Full::new(content.body.clone()))
        .ok()?;
    let fields = content.headers.iter().map(|field| (&*field.name, &field.value[..]));
    headers::extend_except(request.headers_mut(), fields, excluded);
    Some(request)
}
