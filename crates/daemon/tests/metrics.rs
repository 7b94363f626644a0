//! The text exposition of the metrics.

// clippy.toml allows it in test functions only, not in their helpers.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use jackdawpin_core::name;
use jackdawpin_core::outcome::Outcome;
use jackdawpin_core::outcome::Refusal;
use jackdawpin_core::outcome::UnknownReason;
use jackdawpin_daemon::metrics::End;
use jackdawpin_daemon::metrics::Metrics;

fn service(text: &str) -> name::Service {
    name::Service::try_from(text).unwrap()
}

fn has(metrics: &Metrics, line: &str) -> bool {
    metrics.text().unwrap().lines().any(|found| found == line)
}

/// Guards against an end that is counted under the wrong labels, or not at all.
#[test]
fn ends_are_counted() {
    let metrics = Metrics::new();
    let desk = metrics.service(&service("desk"));
    desk.ended(End::Answered);
    desk.ended(&Outcome::Refused(Refusal::QueueFull));
    desk.ended(&Outcome::Unknown(UnknownReason::Timeout));
    desk.ended(End::GivenUp);
    desk.ended(End::GivenUp);
    for (outcome, reason, count) in [
        ("answered", "", 1),
        ("refused", "queue_full", 1),
        ("unknown", "timeout", 1),
        ("given_up", "", 2),
    ] {
        let labels = format!("service=\"desk\",outcome=\"{outcome}\",reason=\"{reason}\"");
        let line = format!("jackdawpin_requests_ended_total{{{labels}}} {count}");
        assert!(has(&metrics, &line), "{line}");
    }
    metrics.entry.unrouted(Refusal::UnknownService);
    assert!(has(&metrics, "jackdawpin_requests_unrouted_total{reason=\"unknown_service\"} 1"));
}

/// Guards against handles of the same service that count apart.
#[test]
fn handles_share_values() {
    let metrics = Metrics::new();
    for _ in 0..2 {
        let desk = metrics.service(&service("desk"));
        desk.accepted.inc();
        desk.in_flight.inc();
        desk.took(Duration::from_millis(3), Duration::from_micros(300));
    }
    metrics.callers.refused.inc();
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
        assert!(has(&metrics, line), "{line}\n{}", metrics.text().unwrap());
    }
}

/// Guards against series of services that are gone, which would grow without limit.
#[test]
fn removed_service_has_no_series() {
    let metrics = Metrics::new();
    let before = metrics.text().unwrap();
    let desk = metrics.service(&service("desk"));
    for end in End::ALL {
        desk.ended(end);
    }
    assert_ne!(metrics.text().unwrap(), before);
    metrics.remove(&service("desk"));
    assert_eq!(metrics.text().unwrap(), before);
}

/// Place of an end in [`End::ALL`]; a reason that is added to the core does not compile here.
fn place(end: End) -> usize {
    match end {
        End::Answered => 0,
        End::Refused(Refusal::Fenced) => 1,
        End::Refused(Refusal::Leaving) => 2,
        End::Refused(Refusal::NotReady) => 3,
        End::Refused(Refusal::UnknownService) => 4,
        End::Refused(Refusal::Invalid) => 5,
        End::Refused(Refusal::QueueFull) => 6,
        End::Refused(Refusal::Deadline) => 7,
        End::Refused(Refusal::NoServer) => 8,
        End::Refused(Refusal::Attempts) => 9,
        End::Refused(Refusal::Full) => 10,
        End::Refused(Refusal::Memory) => 11,
        End::Unknown(UnknownReason::Broken) => 12,
        End::Unknown(UnknownReason::Timeout) => 13,
        End::Unknown(UnknownReason::BadAnswer) => 14,
        End::Unknown(UnknownReason::Duplicate) => 15,
        End::GivenUp => 16,
    }
}

/// Guards against an end that is missing from the list, so that its series is never removed.
#[test]
fn all_ends_are_listed() {
    let places: Vec<usize> = End::ALL.into_iter().map(place).collect();
    assert!(places.into_iter().eq(0..17));
}
