use std::str::FromStr;
use std::time::Duration;

/// The query part of a URI as `name=value` pairs. The test doubles use plain values only, so
/// nothing is percent-decoded.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a>(&'a str);

impl<'a> Query<'a> {
    /// The query of a URI, empty if it has none.
    pub fn from_uri(uri: &'a http::Uri) -> Self {
        Self(uri.query().unwrap_or_default())
    }

    /// The text of a parameter, empty if it has no value; `None` if it is missing.
    pub fn text(&self, name: &str) -> Option<&'a str> {
        self.0.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            (key == name).then_some(value)
        })
    }

    /// The parsed value of a parameter, if it is present and well-formed.
    pub fn value<T: FromStr>(&self, name: &str) -> Option<T> {
        self.text(name)?.parse().ok()
    }

    /// Whether a parameter is set: to `1`, to `true`, or without a value.
    pub fn is_on(&self, name: &str) -> bool {
        self.text(name).is_some_and(|value| matches!(value, "" | "1" | "true"))
    }

    /// The duration in milliseconds that a parameter gives, if it is present and well-formed.
    pub fn millis(&self, name: &str) -> Option<Duration> {
        self.value(name).map(Duration::from_millis)
    }
}
