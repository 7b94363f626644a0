use std::str::FromStr;
use std::time::Duration;

/// The query part of a URI as `name=value` pairs. The stand-ins use plain values only, so nothing is unescaped.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a>(&'a str);

impl<'a> Query<'a> {
    /// Takes the query of a URI.
    pub fn from_uri(uri: &'a http::Uri) -> Self {
        Self(uri.query().unwrap_or_default())
    }

    /// The text of a value, empty if it has none.
    pub fn text(&self, name: &str) -> Option<&'a str> {
        self.0.split('&').find_map(|pair| {
            let (found, value) = pair.split_once('=').unwrap_or((pair, ""));
            (found == name).then_some(value)
        })
    }

    /// A value, if it is there and well-formed.
    pub fn value<T: FromStr>(&self, name: &str) -> Option<T> {
        self.text(name)?.parse().ok()
    }

    /// Whether a switch is on: `1`, `true`, or no value.
    pub fn is_on(&self, name: &str) -> bool {
        self.text(name).is_some_and(|value| matches!(value, "" | "1" | "true"))
    }

    /// A time in milliseconds.
    pub fn millis(&self, name: &str) -> Option<Duration> {
        self.value(name).map(Duration::from_millis)
    }
}
