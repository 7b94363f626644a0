//! Tests of the parts of the measurements that need no fleet.

#![allow(clippy::unwrap_used)]

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use jackdawpin_testkit::measure::LinearFit;
use jackdawpin_testkit::measure::ProcessUsage;
use jackdawpin_testkit::measure::Table;

/// Guards against a wrong fit, and against a division by zero when all points have the same x.
#[rstest]
#[case::line(&[(4.0, 10.0), (8.0, 18.0), (16.0, 34.0)], Some((2.0, 2.0)))]
#[case::flat(&[(1.0, 5.0), (2.0, 5.0)], Some((0.0, 5.0)))]
#[case::one_size(&[(4.0, 10.0), (4.0, 12.0)], None)]
#[case::nothing(&[], None)]
fn linear_fit(#[case] points: &[(f64, f64)], #[case] expected: Option<(f64, f64)>) {
    let fit = LinearFit::fit(points).map(|line| (line.slope, line.intercept));
    assert_eq!(fit, expected);
}

/// Guards against reading the wrong field of `/proc`: the CPU time of a busy process must grow.
#[test]
fn cpu_time_of_busy_process_grows() {
    let own_id = std::process::id();
    let before = ProcessUsage::read(own_id).unwrap();
    let deadline = Instant::now() + Duration::from_secs(3);
    let mut after = before;
    while after.cpu_time < before.cpu_time + Duration::from_millis(50) && Instant::now() < deadline
    {
        std::hint::black_box((0..1_000_000u64).sum::<u64>());
        after = ProcessUsage::read(own_id).unwrap();
    }
    let used = after.cpu_time - before.cpu_time;
    assert!(used >= Duration::from_millis(50) && used < Duration::from_secs(60), "{used:?}");
    assert!(after.resident_kib > 100, "{after:?}");
}

/// Guards against a table that cannot be pasted into a Markdown page.
#[test]
fn table_is_markdown() {
    let mut table = Table::new("Title", &["a", "b (ms)"]);
    table.add_row(["x".into(), 1.25.into()]);
    table.add_note("Note.");
    assert_eq!(table.to_string(), "Title\n\n| a | b (ms) |\n|---|---|\n| x | 1.250 |\n\nNote.\n");
}
