//! Query parameters of a request.

use http::Uri;

/// The first value of the query parameter `name`, percent-decoded.
pub fn value(uri: &Uri, name: &str) -> Option<String> {
    let query = uri.query()?;
    form_urlencoded::parse(query.as_bytes())
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}
