//! The concurrency limit of a server, and edge cases of the permits of a pool.

#![allow(clippy::unwrap_used, reason = "allowed in test functions only, not in their helpers")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use rstest::rstest;

use jackdawpin_core::holder::config::Policy;
use jackdawpin_core::holder::pool::AttemptResult;
use jackdawpin_core::holder::pool::Change;
use jackdawpin_core::holder::pool::Destination;
use jackdawpin_core::holder::pool::Limit;
use jackdawpin_core::holder::pool::LimitPolicy;
use jackdawpin_core::holder::pool::LoadReport;
use jackdawpin_core::holder::pool::Permit;
use jackdawpin_core::holder::pool::Pool;
use jackdawpin_core::holder::pool::Sample;
use jackdawpin_core::holder::pool::ServerSpec;
use jackdawpin_core::holder::pool::Ticket;
use jackdawpin_core::holder::pool::Warmth;
use jackdawpin_core::name;
use jackdawpin_core::time::Instant;

const LIMIT_POLICY: LimitPolicy = LimitPolicy { full_limit: 4, warm_after: 10, cold_factor: 8 };

const WARM: LoadReport =
    LoadReport { in_flight: 1, slots: 3, warm: true, draining: false, boot: 1 };
const COLD: LoadReport = LoadReport { warm: false, ..WARM };
const DRAINING: LoadReport = LoadReport { draining: true, ..WARM };
const RESTARTED: LoadReport = LoadReport { boot: 2, ..WARM };
const RESTARTED_DRAINING: LoadReport = LoadReport { boot: 2, ..DRAINING };

/// One step of a case: the input, how often it is repeated, its latency or duration in
/// milliseconds, and its load report.
type Step = (Input, u32, u64, Option<LoadReport>);

#[derive(Debug, Clone, Copy)]
enum Input {
    Sample(AttemptResult),
    Probe,
    /// Time passes.
    Wait,
}

const ANSWERED: Input = Input::Sample(AttemptResult::Answered);
const FAILED: Input = Input::Sample(AttemptResult::Failed);
const SHED: Input = Input::Sample(AttemptResult::Shed);
const NOT_SENT: Input = Input::Sample(AttemptResult::NotSent);
const BROKEN: Input = Input::Sample(AttemptResult::Broken);
const TIMEOUT: Input = Input::Sample(AttemptResult::Timeout);

/// Makes a server warm: 30 answers of 5 ms.
const WARM_UP: Step = (ANSWERED, 30, 5, Some(WARM));

fn at(millis: u64) -> Instant {
    Instant::from_nanos((1_000_000 + millis) * 1_000_000)
}

/// Applies the steps. Returns the limit, the time after the last step, and the last state change.
fn apply(steps: &[Step]) -> (Limit, Instant, Option<Change>) {
    let mut limit = Limit::new(LIMIT_POLICY);
    let (mut millis, mut last) = (0, None);
    for (input, times, value, report) in steps {
        for _ in 0..*times {
            let change = match input {
                Input::Sample(result) => {
                    let latency = Duration::from_millis(*value);
                    limit.observe(at(millis), &Sample { result: *result, latency, report: *report })
                }
                Input::Probe => limit.observe_probe(at(millis), report.unwrap()),
                Input::Wait => {
                    millis += value;
                    None
                }
            };
            last = change.or(last);
        }
    }
    (limit, at(millis), last)
}

/// Guards against limits that grow too early, too far or not at all, and against answers and
/// reports of a cold, full, failing or draining server that have no effect.
#[rstest]
#[case::unknown(&[], 1, None)]
#[case::nine_answers(&[(ANSWERED, 9, 5, Some(WARM))], 1, None)]
#[case::ten_answers(&[(ANSWERED, 10, 5, Some(WARM))], 2, None)]
#[case::one_answer_before_full(&[(ANSWERED, 29, 5, Some(WARM))], 3, None)]
#[case::full(&[WARM_UP], 4, Some(Change::Warm))]
#[case::not_above_full(&[WARM_UP, WARM_UP], 4, Some(Change::Warm))]
#[case::no_growth_while_cold(&[(ANSWERED, 50, 5, Some(COLD))], 1, None)]
#[case::no_reports(&[(ANSWERED, 30, 5, None)], 4, Some(Change::Warm))]
#[case::probe_does_not_raise_limit(&[(Input::Probe, 50, 0, Some(WARM))], 1, None)]
#[case::warm_shed_halves(&[WARM_UP, (SHED, 1, 0, Some(WARM))], 2, Some(Change::Warm))]
#[case::warm_shed_down_to_one(&[WARM_UP, (SHED, 5, 0, Some(WARM))], 1, Some(Change::Warm))]
#[case::shed_without_report(
    &[(ANSWERED, 30, 5, None), (SHED, 1, 0, None)], 1, Some(Change::Cold("shed"))
)]
#[case::cold_shed(
    &[WARM_UP, (SHED, 1, 0, Some(COLD))], 1, Some(Change::Cold("reports to be cold"))
)]
#[case::slow(&[WARM_UP, (ANSWERED, 1, 51, Some(WARM))], 1, Some(Change::Cold("slow answer")))]
#[case::slow_below_floor(&[WARM_UP, (ANSWERED, 1, 50, Some(WARM))], 4, Some(Change::Warm))]
#[case::slow_below_factor(
    &[(ANSWERED, 30, 20, Some(WARM)), (ANSWERED, 1, 160, Some(WARM))], 4, Some(Change::Warm)
)]
#[case::cold_report(
    &[WARM_UP, (ANSWERED, 1, 5, Some(COLD))], 1, Some(Change::Cold("reports to be cold"))
)]
#[case::restart(
    &[WARM_UP, (ANSWERED, 1, 5, Some(RESTARTED))], 1, Some(Change::Cold("started again"))
)]
#[case::restart_by_probe(
    &[WARM_UP, (Input::Probe, 1, 0, Some(RESTARTED))], 1, Some(Change::Cold("started again"))
)]
#[case::draining(&[WARM_UP, (ANSWERED, 1, 5, Some(DRAINING))], 0, Some(Change::Draining))]
#[case::draining_by_probe(
    &[WARM_UP, (Input::Probe, 1, 0, Some(DRAINING))], 0, Some(Change::Draining)
)]
#[case::drain_cancelled(
    &[WARM_UP, (ANSWERED, 1, 5, Some(DRAINING)), (ANSWERED, 1, 5, Some(WARM))], 4,
    Some(Change::DrainEnded)
)]
#[case::restart_after_draining(
    &[WARM_UP, (ANSWERED, 1, 5, Some(DRAINING)), (Input::Probe, 1, 0, Some(RESTARTED))], 1,
    Some(Change::DrainEnded)
)]
#[case::restart_while_draining(
    &[WARM_UP, (ANSWERED, 1, 5, Some(RESTARTED_DRAINING)), (ANSWERED, 1, 5, Some(RESTARTED))], 1,
    Some(Change::DrainEnded)
)]
#[case::early_probe_does_not_end_drain(
    &[WARM_UP, (ANSWERED, 1, 5, Some(DRAINING)), (Input::Wait, 1, 999, None),
      (Input::Probe, 1, 0, Some(WARM))], 0, Some(Change::Draining)
)]
#[case::later_probe_ends_drain(
    &[WARM_UP, (ANSWERED, 1, 5, Some(DRAINING)), (Input::Wait, 1, 1_000, None),
      (Input::Probe, 1, 0, Some(WARM))], 4, Some(Change::DrainEnded)
)]
#[case::early_probe_does_not_reset_limit(
    &[WARM_UP, (Input::Wait, 1, 999, None), (Input::Probe, 1, 0, Some(COLD))], 4, Some(Change::Warm)
)]
#[case::later_probe_resets_limit(
    &[WARM_UP, (Input::Wait, 1, 1_000, None), (Input::Probe, 1, 0, Some(COLD))], 1,
    Some(Change::Cold("reports to be cold"))
)]
#[case::one_error(&[WARM_UP, (FAILED, 1, 5, Some(WARM))], 1, Some(Change::Cold("error answers")))]
#[case::three_errors(
    &[WARM_UP, (FAILED, 3, 5, Some(WARM))], 0, Some(Change::Cold("error answers"))
)]
#[case::no_connection(&[WARM_UP, (NOT_SENT, 1, 0, None)], 0, Some(Change::Cold("no connection")))]
#[case::broken(&[WARM_UP, (BROKEN, 1, 0, None)], 0, Some(Change::Cold("broken connection")))]
#[case::first_backoff(&[WARM_UP, (BROKEN, 1, 0, None), (Input::Wait, 1, 49, None)], 0,
    Some(Change::Cold("broken connection")))]
#[case::first_backoff_over(&[WARM_UP, (BROKEN, 1, 0, None), (Input::Wait, 1, 50, None)], 1,
    Some(Change::Cold("broken connection")))]
#[case::fourth_backoff(&[(BROKEN, 4, 0, None), (Input::Wait, 1, 399, None)], 0, None)]
#[case::fourth_backoff_over(&[(BROKEN, 4, 0, None), (Input::Wait, 1, 400, None)], 1, None)]
#[case::longest_backoff(&[(BROKEN, 20, 0, None), (Input::Wait, 1, 3_199, None)], 0, None)]
#[case::longest_backoff_over(&[(BROKEN, 20, 0, None), (Input::Wait, 1, 3_200, None)], 1, None)]
#[case::answer_resets_backoff(
    &[(BROKEN, 9, 0, None), (ANSWERED, 1, 5, None), (BROKEN, 1, 0, None),
      (Input::Wait, 1, 3_200, None)], 1, None
)]
#[case::timeout(&[WARM_UP, (TIMEOUT, 1, 250, None)], 1, Some(Change::Cold("timeout")))]
#[case::timeout_below_usual_latency(&[WARM_UP, (TIMEOUT, 9, 1, None)], 4, Some(Change::Warm))]
fn limit_follows_answers(
    #[case] steps: &[Step],
    #[case] expected: u32,
    #[case] change: Option<Change>,
) {
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

fn finish_answered(pool: &Pool, now: Instant, permit: Permit) {
    let sample = Sample {
        result: AttemptResult::Answered,
        latency: Duration::from_millis(5),
        report: Some(WARM),
    };
    pool.finish(now, permit, &sample);
}

/// A pool whose server is warm, with its full limit of 4.
fn warm_pool() -> Arc<Pool> {
    let pool = pool();
    for _ in 0..30 {
        let permit = pool.acquire(at(0), true).unwrap();
        finish_answered(&pool, at(0), permit);
    }
    assert_eq!(pool.capacity(at(0)).free, 4);
    pool
}

fn received_permit(ticket: &mut Ticket) -> Option<Permit> {
    match ticket.wait().now_or_never()?? {
        Destination::Server(permit) => Some(permit),
        Destination::Peer(_) => None,
    }
}

/// Guards against work for a server that was taken out of service, is no longer held, or became
/// cold after the permit was issued, as between the wake-up of a waiting request and its send.
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
fn permits_are_rechecked(#[case] change: fn(&Pool), #[case] usable: bool) {
    let pool = warm_pool();
    let (mut first, second) =
        (pool.acquire(at(0), true).unwrap(), pool.acquire(at(0), true).unwrap());
    change(&pool);
    assert_eq!(pool.recheck(at(1), &mut first), usable);
    pool.release(at(1), first);
    pool.release(at(1), second);
    assert!(pool.statuses(at(1)).iter().all(|status| status.in_flight == 0));
}

/// Guards against a permit that is rechecked with the claim at the time of its issue: work for a
/// server that became cold must end with the current claim.
#[test]
fn recheck_updates_the_claim_of_a_permit() {
    let pool = warm_pool();
    let mut permit = pool.acquire(at(0), true).unwrap();
    assert_eq!(permit.work_until(), None);
    pool.record_probe(at(0), &vm(), RESTARTED);
    assert!(pool.recheck(at(1), &mut permit));
    assert_eq!(permit.work_until(), Some(at(2_000)));
    pool.set_claim(at(2), &vm(), None);
    assert!(!pool.recheck(at(2), &mut permit));
    pool.release(at(2), permit);
}

/// Guards against a server that is used up to its limit again while earlier requests still run at
/// it, after another entry held the server for a moment.
#[test]
fn requests_in_flight_count_after_a_change_of_holder() {
    let pool = warm_pool();
    let permits = [pool.acquire(at(0), true).unwrap(), pool.acquire(at(0), true).unwrap()];
    pool.set_held(at(1), &[]);
    pool.set_held(at(2), &[spec(false)]);
    pool.set_claim(at(2), &vm(), Some(at(2_002)));
    assert!(pool.acquire(at(2), true).is_none());
    let [first, second] = permits;
    finish_answered(&pool, at(3), first);
    assert!(pool.acquire(at(3), true).is_none());
    finish_answered(&pool, at(4), second);
    assert_eq!(pool.capacity(at(4)).free, 1);
}

/// Guards against a request that waits although a permit became free between its attempt to acquire
/// one and its entry into the queue.
#[test]
fn a_queued_request_gets_a_free_permit() {
    let pool = pool();
    let permit = pool.acquire(at(0), true).unwrap();
    assert!(pool.acquire(at(0), true).is_none());
    finish_answered(&pool, at(1), permit);
    let mut ticket = pool.enqueue(at(1), true, 1).unwrap();
    let permit = received_permit(&mut ticket).unwrap();
    pool.release(at(1), permit);
}

/// Guards against a later request that gets the permit of an abandoned attempt, which becomes free
/// after 1 s, before a waiting request, and against permits leaked by requests that end while they
/// wait.
#[test]
fn an_abandoned_permit_goes_to_the_oldest_request() {
    let pool = pool();
    let permit = pool.acquire(at(0), true).unwrap();
    pool.abandon(at(0), permit);
    let dropped = pool.enqueue(at(1), true, 2).unwrap();
    let mut second = pool.enqueue(at(1), true, 2).unwrap();
    assert!(pool.enqueue(at(1), true, 2).is_none(), "the queue is longer than allowed");
    assert!(pool.acquire(at(999), true).is_none());
    // The abandoned attempt no longer counts as in flight. The oldest request ends without using
    // the permit.
    assert!(pool.acquire(at(1_000), true).is_none());
    assert!(received_permit(&mut second).is_none());
    drop(dropped);
    let permit = received_permit(&mut second).unwrap();
    pool.release(at(1_000), permit);
    assert_eq!(pool.capacity(at(1_000)).free, 1);
}

/// Guards against permits that are passed between waiting requests endlessly, because each finds
/// that the claim ends too soon.
#[test]
fn a_permit_is_not_reassigned_under_an_expiring_claim() {
    let pool = pool();
    let permit = pool.acquire(at(0), true).unwrap();
    let mut ticket = pool.enqueue(at(0), true, 8).unwrap();
    pool.release(at(1_950), permit);
    assert!(received_permit(&mut ticket).is_none());
}

/// Guards against vacancies that are reported to more peers than there are free permits.
#[test]
fn each_free_permit_is_reported_to_one_peer() {
    let pool = pool();
    let permit = pool.acquire(at(0), true).unwrap();
    let mut watchers = [pool.vacancy(at(0)).unwrap_err(), pool.vacancy(at(0)).unwrap_err()];
    finish_answered(&pool, at(1), permit);
    let notified: u32 = watchers.iter_mut().filter_map(|watcher| watcher.try_recv().ok()).sum();
    assert_eq!(notified, 1);
    assert_eq!(pool.vacancy(at(1)).unwrap(), 1);
}

/// Guards against a server that returns to service with the limit from before it was taken out.
#[test]
fn a_server_returns_to_service_cold() {
    let pool = warm_pool();
    let taken_out = pool.set_held(at(1), &[spec(true)]);
    assert_eq!(taken_out.excluded.len(), 1);
    assert!(pool.acquire(at(1), true).is_none());
    let brought_back = pool.set_held(at(2), &[spec(false)]);
    assert_eq!(brought_back.included, [vm()]);
    assert_eq!(pool.statuses(at(2))[0].warmth, Warmth::Cold("unknown"));
    assert!(pool.acquire(at(2), true).is_none(), "used without a new claim");
    pool.set_claim(at(2), &vm(), Some(at(2_002)));
    assert_eq!(pool.capacity(at(2)).free, 1);
}
