//! The parts of the measurements that need no fleet.

#![allow(clippy::unwrap_used)]

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use jackdawpin_testkit::measure::Slope;
use jackdawpin_testkit::measure::Table;
use jackdawpin_testkit::measure::Usage;

/// Guards against a wrong slope, and against a division by zero when only one size was measured.
#[rstest]
#[case::line(&[(4.0, 10.0), (8.0, 18.0), (16.0, 34.0)], Some((2.0, 2.0)))]
#[case::flat(&[(1.0, 5.0), (2.0, 5.0)], Some((0.0, 5.0)))]
#[case::one_size(&[(4.0, 10.0), (4.0, 12.0)], None)]
#[case::nothing(&[], None)]
fn slope(#[case] points: &[(f64, f64)], #[case] expected: Option<(f64, f64)>) {
    let found = Slope::fit(points).map(|line| (line.slope, line.base));
    assert_eq!(found, expected);
}

/// Guards against fields of `/proc` that are read from the wrong place: a busy thread uses CPU time.
#[test]
fn usage_grows_with_work() {
    let own = std::process::id();
    let before = Usage::of(own).unwrap();
    let end = Instant::now() + Duration::from_secs(3);
    let mut after = before;
    while after.cpu < before.cpu + Duration::from_millis(50) && Instant::now() < end {
        std::hint::black_box((0..1_000_000u64).sum::<u64>());
        after = Usage::of(own).unwrap();
    }
    let used = after.cpu - before.cpu;
    assert!(used >= Duration::from_millis(50) && used < Duration::from_secs(60), "{used:?}");
    assert!(after.resident_kib > 100, "{after:?}");
}

/// Guards against a table that cannot be pasted into a Markdown page.
#[test]
fn table_is_markdown() {
    let mut table = Table::new("Title", &["a", "b (ms)"]);
    table.row(["x".into(), 1.25.into()]);
    table.note("Note.");
    assert_eq!(table.to_string(), "Title\n\n| a | b (ms) |\n|---|---|\n| x | 1.250 |\n\nNote.\n");
}
