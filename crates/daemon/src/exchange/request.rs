//! The request that a server sees.

use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::Full;

use crate::headers;
use jackdawpin_core::request::Content;

/// A request of this content, without the fields in `own`, which the system sets itself. `None` if
/// its method or path is not valid.
pub fn from_content(content: &Content, own: &[&str]) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(Method::from_bytes(content.method.as_bytes()).ok()?)
        .uri(&*content.path)
        .body(Full::new(content.body.clone()))
        .ok()?;
    let fields = content.headers.iter().map(|field| (&*field.name, &field.value[..]));
    headers::extend_except(request.headers_mut(), fields, own);
    Some(request)
}
