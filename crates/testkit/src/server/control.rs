use std::time::Duration;

use http::Response;
use http::StatusCode;
use http::Uri;

use super::Fault;
use super::Faults;
use super::Mislead;
use super::Service;
use crate::http::Body;
use crate::http::Query;
use crate::http::json;
use crate::http::text;

/// Length of a fault whose request names none.
const DEFAULT_TIME: Duration = Duration::from_secs(1);
/// Slowness if the request names none.
const DEFAULT_FACTOR: f64 = 8.0;

/// Answers a request for the control side.
pub fn respond(service: &Service, command: &str, uri: &Uri) -> Response<Body> {
    let query = Query::of(uri);
    let time = query.millis("ms").unwrap_or(DEFAULT_TIME);
    let set = |fault| service.change(|model, now| model.faults.set(fault, now + time));
    match command {
        "ledger" => return json(StatusCode::OK, ledger(service)),
        "counts" => return json(StatusCode::OK, line(&service.counts())),
        "slow" => {
            let factor = query.value("factor").unwrap_or(DEFAULT_FACTOR);
            service.change(|model, now| model.faults.set_slow(factor, now + time));
        }
        "fail" => set(Fault::Fail),
        "silent" => set(Fault::Silent),
        "cut" => set(Fault::Cut),
        "wrong-id" => set(Fault::WrongId),
        "cold" => service.change(|model, now| model.chill(now)),
        "drain" => service.change(|model, now| model.drain(now)),
        "mislead" => {
            let mislead =
                Mislead { probes: query.is_on("probes"), answers: query.is_on("answers") };
            service.change(|model, _| model.mislead = mislead);
        }
        "clear" => service.change(|model, _| {
            model.faults = Faults::default();
            model.mislead = Mislead::default();
        }),
        _ => return text(StatusCode::NOT_FOUND, "no such control"),
    }
    text(StatusCode::OK, "ok")
}

/// The counts and all entries, one JSON document per line.
fn ledger(service: &Service) -> String {
    let mut text = line(&service.counts());
    service.change(|model, _| {
        for entry in model.ledger().entries() {
            text.push('\n');
            text.push_str(&line(&entry));
        }
    });
    text.push('\n');
    text
}

fn line(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
