use http::HeaderValue;
use serde::Deserialize;

use jackdawpin_core::holder::pool::LoadReport;

/// Prefix of a load report in JSON form.
const JSON_FORM: &str = "JSON ";

#[derive(Deserialize)]
struct Document {
    named_metrics: Metrics,
}

#[derive(Deserialize)]
struct Metrics {
    #[serde(default)]
    in_flight: f64,
    #[serde(default)]
    slots: f64,
    warm: f64,
    #[serde(default)]
    draining: f64,
    boot: f64,
}

/// Reads a load report from the body of a probe. `None` if it is none; a server without usable
/// reports is judged by its answers alone.
pub(super) fn parse(bytes: &[u8]) -> Option<LoadReport> {
    let document: Document = serde_json::from_slice(bytes).ok()?;
    let metrics = document.named_metrics;
    Some(LoadReport {
        in_flight: metrics.in_flight as u32,
        slots: metrics.slots as u32,
        warm: metrics.warm != 0.0,
        draining: metrics.draining != 0.0,
        boot: metrics.boot as u64,
    })
}

/// Reads a load report from a header field.
pub(super) fn parse_header(value: &HeaderValue) -> Option<LoadReport> {
    parse(value.to_str().ok()?.strip_prefix(JSON_FORM)?.as_bytes())
}
