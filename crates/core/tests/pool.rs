//! Tables of cases for the limit of a server, and the pool's places at the edges.

#![allow(clippy::unwrap_used, reason = "allowed in test functions only, not in their helpers")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use rstest::rstest;

use jackdawpin_core::holder::config::Policy;
use jackdawpin_core::holder::pool::Change;
use jackdawpin_core::holder::pool::Kind;
use jackdawpin_core::holder::pool::Limit;
use jackdawpin_core::holder::pool::LoadReport;
use jackdawpin_core::holder::pool::Permit;
use jackdawpin_core::holder::pool::Place;
use jackdawpin_core::holder::pool::Pool;
use jackdawpin_core::holder::pool::Sample;
use jackdawpin_core::holder::pool::ServerSpec;
use jackdawpin_core::holder::pool::Ticket;
use jackdawpin_core::holder::pool::Tuning;
use jackdawpin_core::holder::pool::Warmth;
use jackdawpin_core::name;
use jackdawpin_core::time::Instant;

const TUNING: Tuning = Tuning { full: 4, warm_after: 10, cold_factor: 8 };

const WARM: LoadReport =
    LoadReport { in_flight: 1, slots: 3, warm: true, draining: false, boot: 1 };
const COLD: LoadReport = LoadReport { warm: false, ..WARM };
const DRAINING: LoadReport = LoadReport { draining: true, ..WARM };
const RESTARTED: LoadReport = LoadReport { boot: 2, ..WARM };
const RESTARTED_DRAINING: LoadReport = LoadReport { boot: 2, ..DRAINING };

/// One step of a case: what happens, how often, with what latency and report.
type Step = (What, u32, u64, Option<LoadReport>);

#[derive(Debug, Clone, Copy)]
enum What {
    Sample(Kind),
    Probe,
    /// Time passes, in milliseconds.
    Pass,
}

const ANSWERED: What = What::Sample(Kind::Answered);
const FAILED: What = What::Sample(Kind::Failed);
const SHED: What = What::Sample(Kind::Shed);
const NOT_SENT: What = What::Sample(Kind::NotSent);
const BROKEN: What = What::Sample(Kind::Broken);
const TIMEOUT: What = What::Sample(Kind::Timeout);

/// A server that became warm: 30 answers of 5 ms.
const RAMP: Step = (ANSWERED, 30, 5, Some(WARM));

fn at(millis: u64) -> Instant {
    Instant::from_nanos((1_000_000 + millis) * 1_000_000)
}

/// Applies the steps and returns the limit, when it is read, and the last change.
fn apply(steps: &[Step]) -> (Limit, Instant, Option<Change>) {
    let mut limit = Limit::new(TUNING);
    let (mut millis, mut last) = (0, None);
    for (what, times, value, report) in steps {
        for _ in 0..*times {
            let change = match what {
                What::Sample(kind) => {
                    let latency = Duration::from_millis(*value);
                    limit.observe(at(millis), &Sample { kind: *kind, latency, report: *report })
                }
                What::Probe => limit.observe_probe(at(millis), report.unwrap()),
                What::Pass => {
                    millis += value;
                    None
                }
            };
            last = change.or(last);
        }
    }
    (limit, at(millis), last)
}

/// Guards against limits that grow too early, too far or not at all, and against signs of a cold,
/// full, failing or draining server that have no effect.
#[rstest]
#[case::unknown(&[], 1, None)]
#[case::nine_answers(&[(ANSWERED, 9, 5, Some(WARM))], 1, None)]
#[case::ten_answers(&[(ANSWERED, 10, 5, Some(WARM))], 2, None)]
#[case::ramp(&[(ANSWERED, 29, 5, Some(WARM))], 3, None)]
#[case::full(&[RAMP], 4, Some(Change::Warm))]
#[case::not_above_full(&[RAMP, RAMP], 4, Some(Change::Warm))]
#[case::no_growth_while_cold(&[(ANSWERED, 50, 5, Some(COLD))], 1, None)]
#[case::no_reports(&[(ANSWERED, 30, 5, None)], 4, Some(Change::Warm))]
#[case::probe_shows_no_warmth(&[(What::Probe, 50, 0, Some(WARM))], 1, None)]
#[case::warm_shed_halves(&[RAMP, (SHED, 1, 0, Some(WARM))], 2, Some(Change::Warm))]
#[case::warm_shed_to_one(&[RAMP, (SHED, 5, 0, Some(WARM))], 1, Some(Change::Warm))]
#[case::shed_without_report(
    &[(ANSWERED, 30, 5, None), (SHED, 1, 0, None)], 1, Some(Change::Cold("shed"))
)]
#[case::cold_shed(&[RAMP, (SHED, 1, 0, Some(COLD))], 1, Some(Change::Cold("reports to be cold")))]
#[case::slow(&[RAMP, (ANSWERED, 1, 51, Some(WARM))], 1, Some(Change::Cold("slow answer")))]
#[case::slow_below_floor(&[RAMP, (ANSWERED, 1, 50, Some(WARM))], 4, Some(Change::Warm))]
#[case::slow_below_factor(
    &[(ANSWERED, 30, 20, Some(WARM)), (ANSWERED, 1, 160, Some(WARM))], 4, Some(Change::Warm)
)]
#[case::cold_report(
    &[RAMP, (ANSWERED, 1, 5, Some(COLD))], 1, Some(Change::Cold("reports to be cold"))
)]
#[case::restart(&[RAMP, (ANSWERED, 1, 5, Some(RESTARTED))], 1, Some(Change::Cold("started again")))]
#[case::restart_by_probe(
    &[RAMP, (What::Probe, 1, 0, Some(RESTARTED))], 1, Some(Change::Cold("started again"))
)]
#[case::draining(&[RAMP, (ANSWERED, 1, 5, Some(DRAINING))], 0, Some(Change::Draining))]
#[case::draining_by_probe(&[RAMP, (What::Probe, 1, 0, Some(DRAINING))], 0, Some(Change::Draining))]
#[case::drain_taken_back(
    &[RAMP, (ANSWERED, 1, 5, Some(DRAINING)), (ANSWERED, 1, 5, Some(WARM))], 4,
    Some(Change::Returned)
)]
#[case::restart_after_draining(
    &[RAMP, (ANSWERED, 1, 5, Some(DRAINING)), (What::Probe, 1, 0, Some(RESTARTED))], 1,
    Some(Change::Returned)
)]
#[case::restart_while_draining(
    &[RAMP, (ANSWERED, 1, 5, Some(RESTARTED_DRAINING)), (ANSWERED, 1, 5, Some(RESTARTED))], 1,
    Some(Change::Returned)
)]
#[case::old_probe_ends_no_drain(
    &[RAMP, (ANSWERED, 1, 5, Some(DRAINING)), (What::Pass, 1, 999, None),
      (What::Probe, 1, 0, Some(WARM))], 0, Some(Change::Draining)
)]
#[case::later_probe_ends_drain(
    &[RAMP, (ANSWERED, 1, 5, Some(DRAINING)), (What::Pass, 1, 1_000, None),
      (What::Probe, 1, 0, Some(WARM))], 4, Some(Change::Returned)
)]
#[case::old_probe_cools_not(
    &[RAMP, (What::Pass, 1, 999, None), (What::Probe, 1, 0, Some(COLD))], 4, Some(Change::Warm)
)]
#[case::later_probe_cools(
    &[RAMP, (What::Pass, 1, 1_000, None), (What::Probe, 1, 0, Some(COLD))], 1,
    Some(Change::Cold("reports to be cold"))
)]
#[case::one_error(&[RAMP, (FAILED, 1, 5, Some(WARM))], 1, Some(Change::Cold("error answers")))]
#[case::three_errors(&[RAMP, (FAILED, 3, 5, Some(WARM))], 0, Some(Change::Cold("error answers")))]
#[case::no_connection(&[RAMP, (NOT_SENT, 1, 0, None)], 0, Some(Change::Cold("no connection")))]
#[case::broken(&[RAMP, (BROKEN, 1, 0, None)], 0, Some(Change::Cold("broken connection")))]
#[case::first_rest(&[RAMP, (BROKEN, 1, 0, None), (What::Pass, 1, 49, None)], 0,
    Some(Change::Cold("broken connection")))]
#[case::first_rest_over(&[RAMP, (BROKEN, 1, 0, None), (What::Pass, 1, 50, None)], 1,
    Some(Change::Cold("broken connection")))]
#[case::fourth_rest(&[(BROKEN, 4, 0, None), (What::Pass, 1, 399, None)], 0, None)]
#[case::fourth_rest_over(&[(BROKEN, 4, 0, None), (What::Pass, 1, 400, None)], 1, None)]
#[case::longest_rest(&[(BROKEN, 20, 0, None), (What::Pass, 1, 3_199, None)], 0, None)]
#[case::longest_rest_over(&[(BROKEN, 20, 0, None), (What::Pass, 1, 3_200, None)], 1, None)]
#[case::answer_ends_the_row(
    &[(BROKEN, 9, 0, None), (ANSWERED, 1, 5, None), (BROKEN, 1, 0, None),
      (What::Pass, 1, 3_200, None)], 1, None
)]
#[case::timeout(&[RAMP, (TIMEOUT, 1, 250, None)], 1, Some(Change::Cold("timeout")))]
#[case::timeout_of_an_impatient_caller(&[RAMP, (TIMEOUT, 9, 1, None)], 4, Some(Change::Warm))]
fn limits(#[case] steps: &[Step], #[case] expected: u32, #[case] change: Option<Change>) {
    let (limit, now, last) = apply(steps);
    assert_eq!((limit.current(now), last), (expected, change), "{limit:?}");
}

fn vm() -> name::Vm {
    name::Vm::try_from("s1").unwrap()
}

fn spec(out: bool) -> ServerSpec {
    ServerSpec {
        vm: vm(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: name::Domain::try_from("d1").unwrap(),
        policy: Policy::default(),
        out_reason: out.then(|| "maintenance".into()),
    }
}

/// A pool that holds one server, with a claim until 2 s.
fn pool() -> Arc<Pool> {
    let pool = Arc::new(Pool::new(name::Service::try_from("orders").unwrap()));
    pool.set_held(at(0), &[spec(false)]);
    pool.set_claim(at(0), &vm(), Some(at(2_000)));
    pool
}

fn answer(pool: &Pool, now: Instant, permit: Permit) {
    let sample =
        Sample { kind: Kind::Answered, latency: Duration::from_millis(5), report: Some(WARM) };
    pool.finish(now, permit, &sample);
}

/// A pool whose server is warm, with its full limit of 4.
fn warm_pool() -> Arc<Pool> {
    let pool = pool();
    for _ in 0..30 {
        let permit = pool.acquire(at(0), true).unwrap();
        answer(&pool, at(0), permit);
    }
    assert_eq!(pool.capacity(at(0)).free, 4);
    pool
}

fn local(ticket: &mut Ticket) -> Option<Permit> {
    match ticket.place().now_or_never()?? {
        Place::Local(permit) => Some(permit),
        Place::Remote(_) => None,
    }
}

/// Guards against work for a server that was taken out, lost, or became cold after the place was
/// taken, as between the wake-up of a waiting request and its send.
#[rstest]
#[case::kept(|_: &Pool| (), true)]
#[case::out(|pool: &Pool| drop(pool.set_held(at(1), &[spec(true)])), false)]
#[case::lost(|pool: &Pool| drop(pool.set_held(at(1), &[])), false)]
#[case::out_and_back(|pool: &Pool| {
    pool.set_held(at(1), &[spec(true)]);
    pool.set_held(at(1), &[spec(false)]);
}, false)]
#[case::lost_and_held_again(|pool: &Pool| {
    pool.set_held(at(1), &[]);
    pool.set_held(at(1), &[spec(false)]);
}, false)]
#[case::draining(|pool: &Pool| drop(pool.record_probe(at(1), &vm(), DRAINING)), false)]
#[case::cold(|pool: &Pool| drop(pool.record_probe(at(1_500), &vm(), RESTARTED)), false)]
fn places_are_checked_again(#[case] change: fn(&Pool), #[case] usable: bool) {
    let pool = warm_pool();
    let (mut first, second) =
        (pool.acquire(at(0), true).unwrap(), pool.acquire(at(0), true).unwrap());
    change(&pool);
    assert_eq!(pool.confirm(at(1), &mut first), usable);
    pool.release(at(1), first);
    pool.release(at(1), second);
    assert!(pool.statuses(at(1)).iter().all(|view| view.in_flight == 0));
}

/// Guards against a place that is checked with the claim of the time when it was taken: work for a
/// server that became cold must end with the claim of now.
#[test]
fn the_claim_of_a_place_is_brought_up_to_date() {
    let pool = warm_pool();
    let mut permit = pool.acquire(at(0), true).unwrap();
    assert_eq!(permit.until(), None);
    pool.record_probe(at(0), &vm(), RESTARTED);
    assert!(pool.confirm(at(1), &mut permit));
    assert_eq!(permit.until(), Some(at(2_000)));
    pool.set_claim(at(2), &vm(), None);
    assert!(!pool.confirm(at(2), &mut permit));
    pool.release(at(2), permit);
}

/// Guards against a server that gets its limit again while requests from before still run at it:
/// its holder changed for a moment.
#[test]
fn work_in_flight_outlives_a_change_of_holder() {
    let pool = warm_pool();
    let permits = [pool.acquire(at(0), true).unwrap(), pool.acquire(at(0), true).unwrap()];
    pool.set_held(at(1), &[]);
    pool.set_held(at(2), &[spec(false)]);
    pool.set_claim(at(2), &vm(), Some(at(2_002)));
    assert!(pool.acquire(at(2), true).is_none());
    let [first, second] = permits;
    answer(&pool, at(3), first);
    assert!(pool.acquire(at(3), true).is_none());
    answer(&pool, at(4), second);
    assert_eq!(pool.capacity(at(4)).free, 1);
}

/// Guards against a request that waits although a place became free between its first try and its
/// entry into the queue.
#[test]
fn a_request_that_begins_to_wait_gets_a_free_place() {
    let pool = pool();
    let permit = pool.acquire(at(0), true).unwrap();
    assert!(pool.acquire(at(0), true).is_none());
    answer(&pool, at(1), permit);
    let mut ticket = pool.wait(at(1), true, 1).unwrap();
    let permit = local(&mut ticket).unwrap();
    pool.release(at(1), permit);
}

/// Guards against a later request that takes the place that time has freed for a waiting one, and
/// against places lost with requests that end while they wait.
#[test]
fn time_frees_places_for_the_oldest_request() {
    let pool = pool();
    let permit = pool.acquire(at(0), true).unwrap();
    pool.abandon(at(0), permit);
    let gone = pool.wait(at(1), true, 2).unwrap();
    let mut second = pool.wait(at(1), true, 2).unwrap();
    assert!(pool.wait(at(1), true, 2).is_none(), "the queue is longer than allowed");
    assert!(pool.acquire(at(999), true).is_none());
    // The place that lingers is free, and the oldest request ends without looking at it.
    assert!(pool.acquire(at(1_000), true).is_none());
    assert!(local(&mut second).is_none());
    drop(gone);
    let permit = local(&mut second).unwrap();
    pool.release(at(1_000), permit);
    assert_eq!(pool.capacity(at(1_000)).free, 1);
}

/// Guards against places that go round between waiting requests for ever, because each finds that
/// the claim ends too soon.
#[test]
fn a_place_under_an_old_claim_is_not_handed_on() {
    let pool = pool();
    let permit = pool.acquire(at(0), true).unwrap();
    let mut ticket = pool.wait(at(0), true, 8).unwrap();
    pool.release(at(1_950), permit);
    assert!(local(&mut ticket).is_none());
}

/// Guards against peers that are told of more places than there are.
#[test]
fn each_free_place_is_told_to_one_peer() {
    let pool = pool();
    let permit = pool.acquire(at(0), true).unwrap();
    let mut watches = [pool.vacancy(at(0)).unwrap_err(), pool.vacancy(at(0)).unwrap_err()];
    answer(&pool, at(1), permit);
    let told: u32 = watches.iter_mut().filter_map(|watch| watch.try_recv().ok()).sum();
    assert_eq!(told, 1);
    assert_eq!(pool.vacancy(at(1)).unwrap(), 1);
}

/// Guards against a server that comes back with the limit it had before it was taken out.
#[test]
fn a_server_comes_back_cold() {
    let pool = warm_pool();
    let out = pool.set_held(at(1), &[spec(true)]);
    assert_eq!(out.excluded.len(), 1);
    assert!(pool.acquire(at(1), true).is_none());
    let back = pool.set_held(at(2), &[spec(false)]);
    assert_eq!(back.included, [vm()]);
    assert_eq!(pool.statuses(at(2))[0].warmth, Warmth::Cold("unknown"));
    assert!(pool.acquire(at(2), true).is_none(), "used without a new claim");
    pool.set_claim(at(2), &vm(), Some(at(2_002)));
    assert_eq!(pool.capacity(at(2)).free, 1);
}
