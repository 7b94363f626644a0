//! Time line: stamps that respect causality, and a ring that reports how many events were
//! overwritten.

mod intent_support;

use crate::intent_support::*;
use jackdawpin_core::holder::event::HybridClock;
use jackdawpin_core::holder::event::MAX_TEXT_BYTES;
use jackdawpin_core::holder::event::Ring;
use jackdawpin_core::holder::event::Timeline;
use jackdawpin_core::name;

fn stamp(millis: u64, counter: u32) -> Stamp {
    Stamp { millis, counter }
}

/// Guards against stamps that ignore a remote stamp, follow the broken clock of another process, or
/// repeat when the counter overflows.
#[rstest]
#[case::wall_ahead(1000, stamp(500, 9), stamp(1000, 0))]
#[case::remote_ahead(1000, stamp(2000, 4), stamp(2000, 5))]
#[case::largest_lead(1000, stamp(61_000, 0), stamp(61_000, 1))]
#[case::beyond_the_largest_lead(1000, stamp(61_001, 0), stamp(1000, 0))]
#[case::largest_stamp(1000, stamp(u64::MAX, u32::MAX), stamp(1000, 0))]
#[case::full_counter(1000, stamp(1000, u32::MAX), stamp(1001, 0))]
#[case::largest_wall_time(u64::MAX, stamp(1, 0), stamp(u64::MAX, 0))]
fn received_stamp(#[case] wall: u64, #[case] remote: Stamp, #[case] expected: Stamp) {
    assert_eq!(HybridClock::new().receive(wall, remote), expected);
}

/// Guards against refused documents of 1 MB that fill the ring's memory, and against a text that is
/// truncated inside a character.
#[rstest]
#[case::short_text("a reason".to_owned(), 8)]
#[case::longest_kept("a".repeat(MAX_TEXT_BYTES), MAX_TEXT_BYTES)]
#[case::truncated("a".repeat(1 << 20), MAX_TEXT_BYTES)]
#[case::truncated_multibyte("\u{20ac}".repeat(1 << 10), MAX_TEXT_BYTES - 2)]
fn text_is_truncated(#[case] text: String, #[case] expected_bytes: usize) {
    let mut ring = Ring::new(4);
    ring.push(Stamp::default(), Event::ConfigRefused(1, text));
    let (_, records) = ring.events_after(0, 1);
    let Event::ConfigRefused(_, reason) = &records[0].event else { panic!("another event") };
    assert_eq!(reason.len(), expected_bytes);
}

/// Guards against filters by service or VM that miss events of servers or peers.
#[test]
fn service_and_vm() {
    let service = name::Service::try_from("alerts").unwrap();
    let vm = name::Vm::try_from("s1").unwrap();
    let held = Event::Held(service.clone(), vm.clone());
    assert_eq!((held.service(), held.vm()), (Some(&service), Some(&vm)));
    let silent = Event::PeerSilent(vm.clone());
    assert_eq!((silent.service(), silent.vm()), (None, Some(&vm)));
    assert_eq!((Event::Ready.service(), Event::Ready.vm()), (None, None));
}

/// Guards against an effect that is sorted before its cause when two time lines are merged. The
/// wall clock of the receiver is 4 s behind.
#[test]
fn cause_before_effect() {
    let sender = Timeline::new(8);
    let receiver = Timeline::new(8);
    sender.record(5_000, Event::ConfigAccepted(1));
    let message = sender.stamp(5_000);
    receiver.receive(1_000, message);
    receiver.record(1_000, Event::ConfigAccepted(1));
    let cause = sender.events_after(0, 1).1[0].stamp;
    let effect = receiver.events_after(0, 1).1[0].stamp;
    assert!(cause < message && message < effect);
}

proptest! {
    #![proptest_config(deterministic(256))]

    /// Guards against stamps that go back when wall clocks jump or remote stamps arrive in any
    /// order, and against a received stamp that is later than the stamp of its receipt.
    #[test]
    fn stamps_increase(
        steps in prop::collection::vec(
            (0u64..200_000, prop::option::of((0u64..300_000, prop::num::u32::ANY))),
            1..60,
        ),
    ) {
        let mut clock = HybridClock::new();
        let mut last = Stamp::default();
        for (wall, remote) in steps {
            let next = match remote {
                None => clock.local(wall),
                Some((millis, counter)) => {
                    let remote = stamp(millis, counter);
                    let next = clock.receive(wall, remote);
                    if millis <= wall + 60_000 {
                        prop_assert!(next > remote);
                    }
                    next
                }
            };
            prop_assert!(next > last);
            last = next;
        }
    }

    /// Guards against events that are lost without being reported: those reported as overwritten
    /// and those returned must add up to all of them.
    #[test]
    fn overwritten_events_are_counted(
        capacity in 0usize..20,
        pushed in 0u64..60,
        number in 0u64..80,
        max in 0usize..30,
    ) {
        let mut ring = Ring::new(capacity);
        for index in 1..=pushed {
            prop_assert_eq!(ring.push(stamp(index, 0), Event::Started(index)), index);
        }
        let (mut lost, mut returned, mut last_number) = (0, 0, number);
        loop {
            let (overwritten, records) = ring.events_after(last_number, max);
            if last_number == number {
                lost = overwritten;
                last_number += overwritten;
            } else {
                prop_assert_eq!(overwritten, 0);
            }
            prop_assert!(records.len() <= max);
            for record in &records {
                last_number += 1;
                prop_assert_eq!(record.number, last_number);
                prop_assert_eq!(&record.event, &Event::Started(last_number));
            }
            returned += records.len() as u64;
            if records.is_empty() {
                break;
            }
        }
        if max > 0 {
            prop_assert_eq!(lost + returned, pushed.saturating_sub(number));
        }
    }
}
