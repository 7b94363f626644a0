use std::time::Duration;

use http::Response;
use http::StatusCode;
use http::Uri;

use super::Adapter;
use super::Fault;
use super::Faults;
use super::Misreporting;
use crate::http::Body;
use crate::http::Query;
use crate::http::json_response;
use crate::http::text_response;

/// Duration of a fault whose request names none.
const DEFAULT_FAULT_TIME: Duration = Duration::from_secs(1);
/// Factor of a slow fault whose request names none.
const DEFAULT_SLOW_FACTOR: f64 = 8.0;

/// Runs a command of the control interface and answers its request.
pub fn respond(adapter: &Adapter, command: &str, uri: &Uri) -> Response<Body> {
    let query = Query::from_uri(uri);
    let duration = query.millis("ms").unwrap_or(DEFAULT_FAULT_TIME);
    let set = |fault| adapter.with_model(|model, now| model.faults.set(fault, now + duration));
    match command {
        "ledger" => return json_response(StatusCode::OK, ledger_lines(adapter)),
        "counts" => return json_response(StatusCode::OK, to_json(&adapter.counts())),
        "slow" => {
            let factor = query.value("factor").unwrap_or(DEFAULT_SLOW_FACTOR);
            adapter.with_model(|model, now| model.faults.set_slowdown(factor, now + duration));
        }
        "fail" => set(Fault::Fail),
        "silent" => set(Fault::Silent),
        "cut" => set(Fault::Truncate),
        "wrong-id" => set(Fault::WrongId),
        "cold" => adapter.with_model(|model, now| model.make_cold(now)),
        "drain" => adapter.with_model(|model, now| model.drain(now)),
        "mislead" => {
            let misreporting =
                Misreporting { probes: query.is_on("probes"), answers: query.is_on("answers") };
            adapter.with_model(|model, _| model.misreporting = misreporting);
        }
        "clear" => adapter.with_model(|model, _| {
            model.faults = Faults::default();
            model.misreporting = Misreporting::default();
        }),
        _ => return text_response(StatusCode::NOT_FOUND, "unknown control command"),
    }
    text_response(StatusCode::OK, "ok")
}

/// The ledger's counts and all its entries, one JSON document per line.
fn ledger_lines(adapter: &Adapter) -> String {
    let mut text = to_json(&adapter.counts());
    adapter.with_model(|model, _| {
        for entry in model.ledger().entries() {
            text.push('\n');
            text.push_str(&to_json(&entry));
        }
    });
    text.push('\n');
    text
}

fn to_json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
