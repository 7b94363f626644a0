//! The budgets of probes and of retries.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rstest::rstest;

use jackdawpin_core::holder::probe;
use jackdawpin_core::holder::retry;
use jackdawpin_core::port::Random;
use jackdawpin_core::time::Instant;

const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

/// Returns a fixed fraction of each bound, in thousandths.
struct FixedRandom(u64);

impl Random for FixedRandom {
    fn below(&self, bound: u64) -> u64 {
        (bound.saturating_sub(1) / 1_000) * self.0
    }
}

fn at(millis: u64) -> Instant {
    Instant::from_nanos(millis * 1_000_000)
}

/// Creates a runner that generates the same cases each time.
fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Largest number of probes in any minute, which includes its start and excludes its end. `probes`
/// are the times of the probes in milliseconds.
fn most_per_minute(probes: &[u64]) -> usize {
    let within =
        |start: u64| probes.iter().filter(|at| (start..start + 60_000).contains(*at)).count();
    probes.iter().map(|start| within(*start)).max().unwrap_or(0)
}

/// Guards against more probes than the limit while two entries both consider themselves the holder
/// of the server, each losing and regaining it at any time (invariant I1).
#[test]
fn two_holders_stay_within_the_limit() {
    let step = (0_usize..2, 0_u64..3_000, prop::bool::weighted(0.05));
    let steps = prop::collection::vec(step, 400);
    let run = |(limit, spread, steps): (u32, u64, Vec<(usize, u64, bool)>)| {
        let new = |now| probe::ProbeBudget::new(now, limit, &FixedRandom(spread));
        let mut holders = [new(at(0)), new(at(0))];
        let mut now = 0;
        let mut probes = Vec::new();
        for (holder, pause, regained) in steps {
            now += pause;
            if regained {
                holders[holder] = new(at(now));
            }
            if holders[holder].try_take(at(now)) {
                probes.push(now);
            }
        }
        let most = most_per_minute(&probes);
        prop_assert!(most <= limit as usize, "{most} probes in a minute, limit {limit}");
        Ok(())
    };
    runner(100).run(&(2_u32..120, 0_u64..1_000, steps), run).unwrap();
}

/// Guards against a holder whose part of the limit is too small, so that the limit is not used.
#[rstest]
#[case(1, 5)]
#[case(2, 10)]
#[case(3, 10)]
#[case(30, 150)]
#[case(120, 600)]
fn a_holder_uses_its_part_of_the_limit(#[case] limit: u32, #[case] in_ten_minutes: usize) {
    let mut budget = probe::ProbeBudget::new(at(0), limit, &FixedRandom(0));
    let first = budget.next_due(None, MAX_REPORT_AGE).unwrap();
    let probes =
        (0..600_000).filter(|ms| budget.try_take(first + Duration::from_millis(*ms))).count();
    assert_eq!(probes, in_ten_minutes);
}

/// Guards against a burst of probes after the process was suspended, and against a probe at the
/// moment when a server becomes held.
#[test]
fn at_most_one_probe_is_saved() {
    let mut budget = probe::ProbeBudget::new(at(0), 30, &FixedRandom(500));
    assert!(!budget.try_take(at(5_900)));
    assert!(budget.try_take(at(6_100)));
    assert!(budget.try_take(at(3_600_000)));
    assert!(!budget.try_take(at(3_603_999)));
    assert!(budget.try_take(at(3_604_000)));
}

/// Guards against probes that a recent report makes unnecessary, and against an old report that
/// prevents a probe.
#[test]
fn a_fresh_report_replaces_a_probe() {
    let budget = probe::ProbeBudget::new(at(0), 30, &FixedRandom(0));
    assert_eq!(budget.next_due(None, MAX_REPORT_AGE), Some(at(4_000)));
    assert_eq!(budget.next_due(Some(at(100)), MAX_REPORT_AGE), Some(at(4_000)));
    assert_eq!(budget.next_due(Some(at(9_000)), MAX_REPORT_AGE), Some(at(10_000)));
    assert!(!budget.is_due(at(9_999), Some(at(9_000)), MAX_REPORT_AGE));
    assert!(budget.is_due(at(10_000), Some(at(9_000)), MAX_REPORT_AGE));
}

/// Guards against a changed limit that allows an extra probe or that is not applied.
#[test]
fn a_changed_limit_empties_the_budget() {
    let mut budget = probe::ProbeBudget::new(at(0), 30, &FixedRandom(0));
    budget.set_limit(at(10_000), 30, &FixedRandom(0));
    assert!(budget.is_due(at(10_000), None, MAX_REPORT_AGE));
    budget.set_limit(at(10_000), 60, &FixedRandom(0));
    assert_eq!(budget.next_due(None, MAX_REPORT_AGE), Some(at(12_000)));
    budget.set_limit(at(11_000), 0, &FixedRandom(0));
    assert_eq!(budget.next_due(None, MAX_REPORT_AGE), None);
    assert!(!budget.try_take(at(1_000_000)));
}

/// Guards against retries that exceed their fraction of the requests, and against retries that are
/// refused although they were earned.
#[rstest]
#[case::usual(100, 10, 1_000, 110)]
#[case::no_burst(100, 0, 1_000, 0)]
#[case::nothing_earned(0, 10, 1_000, 10)]
#[case::one_each(1_000, 1, 50, 51)]
fn retries_are_a_fraction_of_requests(
    #[case] permille: u32,
    #[case] burst: u32,
    #[case] requests: usize,
    #[case] expected: usize,
) {
    let mut budget = retry::RetryBudget::new(permille, burst);
    let initial = (0..burst).filter(|_| budget.try_take()).count();
    let mut taken = initial;
    for _ in 0..requests {
        budget.earn();
        taken += usize::from(budget.try_take());
    }
    assert_eq!(taken, expected);
}

/// Guards against a burst that is larger than allowed after many requests or after its limit was
/// lowered.
#[test]
fn saved_retries_are_bounded() {
    let mut budget = retry::RetryBudget::new(100, 10);
    (0..10_000).for_each(|_| budget.earn());
    assert_eq!(budget.available(), 10);
    budget.set_policy(100, 4);
    assert_eq!((0..100).filter(|_| budget.try_take()).count(), 4);
    budget.set_policy(100, 10);
    assert_eq!(budget.available(), 0);
}
