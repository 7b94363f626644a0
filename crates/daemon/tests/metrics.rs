//! Metrics and their text exposition.

// clippy.toml allows it in test functions only, not in their helpers.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use jackdawpin_core::name;
use jackdawpin_core::outcome::Outcome;
use jackdawpin_core::outcome::Refusal;
use jackdawpin_core::outcome::UnknownReason;
use jackdawpin_daemon::metrics::Metrics;
use jackdawpin_daemon::metrics::RequestEnd;

/// A service name.
fn service_name(text: &str) -> name::Service {
    name::Service::try_from(text).unwrap()
}

/// Whether the exposition has this line.
fn has_line(metrics: &Metrics, line: &str) -> bool {
    metrics.exposition().unwrap().lines().any(|found| found == line)
}

/// Guards against ended requests that are counted under the wrong labels or not at all.
#[test]
fn ends_are_counted() {
    let metrics = Metrics::new();
    let desk = metrics.service(&service_name("desk"));
    desk.count_end(RequestEnd::Answered);
    desk.count_end(&Outcome::Refused(Refusal::QueueFull));
    desk.count_end(&Outcome::Unknown(UnknownReason::Timeout));
    desk.count_end(RequestEnd::Abandoned);
    desk.count_end(RequestEnd::Abandoned);
    for (outcome, reason, count) in [
        ("answered", "", 1),
        ("refused", "queue_full", 1),
        ("unknown", "timeout", 1),
        ("given_up", "", 2),
    ] {
        let labels = format!("service=\"desk\",outcome=\"{outcome}\",reason=\"{reason}\"");
        let line = format!("jackdawpin_requests_ended_total{{{labels}}} {count}");
        assert!(has_line(&metrics, &line), "{line}");
    }
    metrics.entry.count_unrouted(Refusal::UnknownService);
    assert!(has_line(&metrics, "jackdawpin_requests_unrouted_total{reason=\"unknown_service\"} 1"));
}

/// Guards against handles of the same service that do not share their values.
#[test]
fn handles_share_values() {
    let metrics = Metrics::new();
    for _ in 0..2 {
        let desk = metrics.service(&service_name("desk"));
        desk.accepted.inc();
        desk.in_flight.inc();
        desk.record_latency(Duration::from_millis(3), Duration::from_micros(300));
    }
    metrics.caller_listener.refused.inc();
    metrics.entry.fenced.set(1);
    for line in [
        "jackdawpin_requests_accepted_total{service=\"desk\"} 2",
        "jackdawpin_requests_in_flight{service=\"desk\"} 2",
        "jackdawpin_latency_seconds_bucket{le=\"0.005\",service=\"desk\"} 2",
        "jackdawpin_added_latency_seconds_bucket{le=\"0.0002\",service=\"desk\"} 0",
        "jackdawpin_added_latency_seconds_bucket{le=\"0.0004\",service=\"desk\"} 2",
        "jackdawpin_connections_refused_total{listener=\"callers\"} 1",
        "jackdawpin_connections_refused_total{listener=\"control\"} 0",
        "jackdawpin_fenced 1",
    ] {
        assert!(has_line(&metrics, line), "{line}\n{}", metrics.exposition().unwrap());
    }
}

/// Guards against series of removed services, whose number would grow without limit.
#[test]
fn removed_service_has_no_series() {
    let metrics = Metrics::new();
    let before = metrics.exposition().unwrap();
    let desk = metrics.service(&service_name("desk"));
    for end in RequestEnd::ALL {
        desk.count_end(end);
    }
    assert_ne!(metrics.exposition().unwrap(), before);
    metrics.remove_service(&service_name("desk"));
    assert_eq!(metrics.exposition().unwrap(), before);
}

/// Position of an end in [`RequestEnd::ALL`]. If the core gets a new reason, this match does not
/// compile until the reason is added.
fn position(end: RequestEnd) -> usize {
    match end {
        RequestEnd::Answered => 0,
        RequestEnd::Refused(Refusal::Fenced) => 1,
        RequestEnd::Refused(Refusal::Leaving) => 2,
        RequestEnd::Refused(Refusal::NotReady) => 3,
        RequestEnd::Refused(Refusal::UnknownService) => 4,
        RequestEnd::Refused(Refusal::Invalid) => 5,
        RequestEnd::Refused(Refusal::QueueFull) => 6,
        RequestEnd::Refused(Refusal::RateLimit) => 7,
        RequestEnd::Refused(Refusal::Suspect) => 8,
        RequestEnd::Refused(Refusal::Deadline) => 9,
        RequestEnd::Refused(Refusal::NoServer) => 10,
        RequestEnd::Refused(Refusal::Attempts) => 11,
        RequestEnd::Refused(Refusal::Full) => 12,
        RequestEnd::Refused(Refusal::Memory) => 13,
        RequestEnd::Unknown(UnknownReason::Broken) => 14,
        RequestEnd::Unknown(UnknownReason::Timeout) => 15,
        RequestEnd::Unknown(UnknownReason::BadAnswer) => 16,
        RequestEnd::Unknown(UnknownReason::Duplicate) => 17,
        RequestEnd::Abandoned => 18,
    }
}

/// Guards against an end that is missing from the list, so that its series would never be removed.
#[test]
fn all_ends_are_listed() {
    let positions: Vec<usize> = RequestEnd::ALL.into_iter().map(position).collect();
    assert!(positions.into_iter().eq(0..19));
}
