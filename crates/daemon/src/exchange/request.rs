//! Builds HTTP requests from the content of calls.

use http::Method;
use http::Request;

use crate::headers;
use jackdawpin_core::request::Content;

/// Builds a request with the method, path and header fields of `content`. The fields in `excluded`,
/// which the caller of this function sets itself, are left out. `None` if the method or path is not
/// valid.
pub fn from_content<B>(content: &Content, body: B, excluded: &[&str]) -> Option<Request<B>> {
    let mut request = Request::builder()
        .method(Method::from_bytes(content.method.as_bytes()).ok()?)
        .uri(&*content.path)
        .body(body)
        .ok()?;
    let fields = content.headers.iter().map(|field| (&*field.name, &field.value[..]));
    headers::extend_except(request.headers_mut(), fields, excluded);
    Some(request)
}
