//! Time line: stamps that respect cause and effect, and a ring that reports what it dropped.

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

/// Guards against stamps that ignore a remote stamp, follow a broken clock, or repeat when the
/// counter is full.
#[rstest]
#[case::wall_ahead(1000, stamp(500, 9), stamp(1000, 0))]
#[case::remote_ahead(1000, stamp(2000, 4), stamp(2000, 5))]
#[case::at_the_bound(1000, stamp(61_000, 0), stamp(61_000, 1))]
#[case::beyond_the_bound(1000, stamp(61_001, 0), stamp(1000, 0))]
#[case::largest(1000, stamp(u64::MAX, u32::MAX), stamp(1000, 0))]
#[case::full_counter(1000, stamp(1000, u32::MAX), stamp(1001, 0))]
#[case::wall_at_the_end(u64::MAX, stamp(1, 0), stamp(u64::MAX, 0))]
fn received_stamp(#[case] wall: u64, #[case] remote: Stamp, #[case] expected: Stamp) {
    assert_eq!(HybridClock::new().receive(wall, remote), expected);
}

/// Guards against refused documents of 1 MB that fill the ring's memory, and against a cut inside a
/// character.
#[rstest]
#[case::short("a reason".to_owned(), 8)]
#[case::full("a".repeat(MAX_TEXT_BYTES), MAX_TEXT_BYTES)]
#[case::long("a".repeat(1 << 20), MAX_TEXT_BYTES)]
#[case::wide("\u{20ac}".repeat(1 << 10), MAX_TEXT_BYTES - 2)]
fn bounded_text(#[case] text: String, #[case] expected: usize) {
    let mut ring = Ring::new(4);
    ring.push(Stamp::default(), Event::ConfigRefused(1, text));
    let (_, records) = ring.events_after(0, 1);
    let Event::ConfigRefused(_, why) = &records[0].event else { panic!("another event") };
    assert_eq!(why.len(), expected);
}

/// Guards against filters by service or VM that miss events of servers or peers.
#[test]
fn subject() {
    let service = name::Service::try_from("alerts").unwrap();
    let vm = name::Vm::try_from("s1").unwrap();
    let held = Event::Held(service.clone(), vm.clone());
    assert_eq!((held.service(), held.vm()), (Some(&service), Some(&vm)));
    let silent = Event::PeerSilent(vm.clone());
    assert_eq!((silent.service(), silent.vm()), (None, Some(&vm)));
    assert_eq!((Event::Ready.service(), Event::Ready.vm()), (None, None));
}

/// Guards against an effect that sorts before its cause when two time lines are merged.
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
    #![proptest_config(fixed(256))]

    /// Guards against stamps that go back when wall clocks jump or remote stamps arrive in any
    /// order, and against a received stamp that does not sort before what follows it.
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

    /// Guards against events lost without notice: what was dropped, returned and left over adds up
    /// to all of them.
    #[test]
    fn ring_adds_up(
        capacity in 0usize..20,
        pushed in 0u64..60,
        number in 0u64..80,
        max in 0usize..30,
    ) {
        let mut ring = Ring::new(capacity);
        for index in 1..=pushed {
            prop_assert_eq!(ring.push(stamp(index, 0), Event::Started(index)), index);
        }
        let (mut dropped, mut returned, mut from) = (0, 0, number);
        loop {
            let (missed, records) = ring.events_after(from, max);
            if from == number {
                dropped = missed;
                from += missed;
            } else {
                prop_assert_eq!(missed, 0);
            }
            prop_assert!(records.len() <= max);
            for record in &records {
                from += 1;
                prop_assert_eq!(record.number, from);
                prop_assert_eq!(&record.event, &Event::Started(from));
            }
            returned += records.len() as u64;
            if records.is_empty() {
                break;
            }
        }
        if max > 0 {
            prop_assert_eq!(dropped + returned, pushed.saturating_sub(number));
        }
    }
}
