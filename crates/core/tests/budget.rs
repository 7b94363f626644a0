//! Budgets of probes and retries.

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

const FRESH: Duration = Duration::from_secs(1);

/// Returns the same part of each bound, in thousandths.
struct Fixed(u64);

impl Random for Fixed {
    fn below(&self, bound: u64) -> u64 {
        (bound.saturating_sub(1) / 1_000) * self.0
    }
}

fn at(millis: u64) -> Instant {
    Instant::from_nanos(millis * 1_000_000)
}

/// A runner that tries the same cases in each run.
fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Largest number of probes in a minute that includes its start and not its end.
fn most_per_minute(probes: &[u64]) -> usize {
    let within =
        |start: u64| probes.iter().filter(|at| (start..start + 60_000).contains(*at)).count();
    probes.iter().map(|start| within(*start)).max().unwrap_or(0)
}

/// Guards against more probes than the limit while two entries both believe that they hold the
/// server, each losing and regaining it at any time (I1).
#[test]
fn two_holders_stay_within_the_limit() {
    let step = (0_usize..2, 0_u64..3_000, prop::bool::weighted(0.05));
    let steps = prop::collection::vec(step, 400);
    let run = |(limit, spread, steps): (u32, u64, Vec<(usize, u64, bool)>)| {
        let new = |now| probe::ProbeBudget::new(now, limit, &Fixed(spread));
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

/// Guards against the share of a holder being so small that the limit is not used.
#[rstest]
#[case(1, 5)]
#[case(2, 10)]
#[case(3, 10)]
#[case(30, 150)]
#[case(120, 600)]
fn a_holder_uses_its_share(#[case] limit: u32, #[case] in_ten_minutes: usize) {
    let mut budget = probe::ProbeBudget::new(at(0), limit, &Fixed(0));
    let first = budget.next_due(None, FRESH).unwrap();
    let probes =
        (0..600_000).filter(|ms| budget.try_take(first + Duration::from_millis(*ms))).count();
    assert_eq!(probes, in_ten_minutes);
}

/// Guards against a burst of probes after a pause of the process, and against probing at the moment
/// a server becomes held.
#[test]
fn a_pause_saves_one_probe() {
    let mut budget = probe::ProbeBudget::new(at(0), 30, &Fixed(500));
    assert!(!budget.try_take(at(5_900)));
    assert!(budget.try_take(at(6_100)));
    assert!(budget.try_take(at(3_600_000)));
    assert!(!budget.try_take(at(3_603_999)));
    assert!(budget.try_take(at(3_604_000)));
}

/// Guards against probes that a recent report makes useless, and against a probe that never comes
/// because the report is old.
#[test]
fn a_fresh_report_replaces_a_probe() {
    let budget = probe::ProbeBudget::new(at(0), 30, &Fixed(0));
    assert_eq!(budget.next_due(None, FRESH), Some(at(4_000)));
    assert_eq!(budget.next_due(Some(at(100)), FRESH), Some(at(4_000)));
    assert_eq!(budget.next_due(Some(at(9_000)), FRESH), Some(at(10_000)));
    assert!(!budget.is_due(at(9_999), Some(at(9_000)), FRESH));
    assert!(budget.is_due(at(10_000), Some(at(9_000)), FRESH));
}

/// Guards against a configuration change that gives an extra probe, or that is not applied.
#[test]
fn a_changed_limit_starts_again() {
    let mut budget = probe::ProbeBudget::new(at(0), 30, &Fixed(0));
    budget.set_limit(at(10_000), 30, &Fixed(0));
    assert!(budget.is_due(at(10_000), None, FRESH));
    budget.set_limit(at(10_000), 60, &Fixed(0));
    assert_eq!(budget.next_due(None, FRESH), Some(at(12_000)));
    budget.set_limit(at(11_000), 0, &Fixed(0));
    assert_eq!(budget.next_due(None, FRESH), None);
    assert!(!budget.try_take(at(1_000_000)));
}

/// Guards against retries that exceed their part of the requests, or that are refused although
/// they were earned.
#[rstest]
#[case::usual(100, 10, 1_000, 110)]
#[case::no_burst(100, 0, 1_000, 0)]
#[case::nothing_earned(0, 10, 1_000, 10)]
#[case::one_each(1_000, 1, 50, 51)]
fn retries_are_a_part_of_requests(
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

/// Guards against a burst larger than allowed after many requests, or after the policy is lowered.
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
