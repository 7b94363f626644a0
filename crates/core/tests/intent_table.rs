//! Documents in force: the order of acceptance, refusals, conflicts and stale documents.

mod intent_support;

use std::sync::Arc;

use crate::intent_support::*;
use jackdawpin_core::holder::config::Config;
use jackdawpin_core::holder::event::MAX_TEXT_BYTES;
use jackdawpin_core::holder::intent::Decision;

const NOW: u64 = 1_000;

fn order(number: u64, digest: u64) -> DocumentVersion {
    DocumentVersion { number, digest }
}

/// Offers a configuration from the platform.
fn offer(table: &DocumentTable, order: DocumentVersion, valid: bool, events: &Events) -> Decision {
    let document = document(order, valid);
    let source = Source::Platform { sent_at: at(NOW) };
    table.offer_config(at(NOW), order, document, &order.digest.to_le_bytes(), source, events)
}

/// Offers a configuration from another entry.
fn pass_on(
    table: &DocumentTable,
    order: DocumentVersion,
    valid: bool,
    events: &Events,
) -> Decision {
    let (document, peer) = (document(order, valid), vm("e9"));
    let bytes = order.digest.to_le_bytes();
    table.offer_config(at(NOW), order, document, &bytes, Source::Peer(&peer), events)
}

fn document(order: DocumentVersion, valid: bool) -> Result<Config, String> {
    if valid { Ok(config(order.number)) } else { Err(format!("bad {}", order.number)) }
}

/// Guards against a revert to an older document, a refused document that replaces a valid one, and
/// events that are missing or wrong. The document in force is revision 5 with digest 50.
#[rstest]
#[case::newer((6, 1), true, Decision::Accepted, "[ConfigAccepted(6)]")]
#[case::same((5, 50), true, Decision::InForce, "[]")]
#[case::older((4, 99), true, Decision::Older, "[ConfigStale(4, 5)]")]
#[case::older_invalid((4, 99), false, Decision::Older, "[ConfigStale(4, 5)]")]
#[case::higher_digest((5, 51), true, Decision::Accepted, "[ConfigConflict(5), ConfigAccepted(5)]")]
#[case::lower_digest((5, 49), true, Decision::Older, "[ConfigConflict(5)]")]
#[case::invalid((6, 1), false, Decision::Refused, "[ConfigRefused(6, \"bad 6\")]")]
#[case::damaged((0, 1), false, Decision::Refused, "[ConfigRefused(0, \"bad 0\")]")]
fn decision(
    #[case] (number, digest): (u64, u64),
    #[case] valid: bool,
    #[case] expected: Decision,
    #[case] expected_events: &str,
) {
    let offered = order(number, digest);
    let (table, events) = (DocumentTable::new(), Events::default());
    offer(&table, order(5, 50), true, &events);
    events.take();
    assert_eq!(offer(&table, offered, valid, &events), expected);
    assert_eq!(format!("{:?}", events.take()), expected_events);
    let in_force = if expected == Decision::Accepted { offered } else { order(5, 50) };
    let accepted = table.config_status().accepted.unwrap();
    assert_eq!(accepted.version, in_force);
    assert_eq!(accepted.value.revision(), in_force.number);
    assert_eq!(*accepted.bytes, in_force.digest.to_le_bytes());
    // Watches return the same document again and again; it must not fill the time line.
    offer(&table, offered, valid, &events);
    assert_eq!(events.take(), []);
}

/// Guards against a refusal that disappears while it still matters, stays after it was resolved, or
/// takes unbounded memory.
#[test]
fn refusal_kept() {
    let (table, events) = (DocumentTable::new(), Events::default());
    let refused =
        |table: &DocumentTable| table.config_status().refusal.map(|refusal| refusal.version.number);
    offer(&table, order(5, 1), true, &events);
    offer(&table, order(8, 1), false, &events);
    pass_on(&table, order(7, 1), false, &events);
    assert_eq!(refused(&table), Some(8), "the newest refusal is kept");
    pass_on(&table, order(6, 1), true, &events);
    assert_eq!(refused(&table), Some(8), "6 is accepted, the platform still serves 8");
    assert_eq!(table.config_status().refused.as_slice(), [order(8, 1), order(7, 1)]);
    offer(&table, order(9, 1), true, &events);
    assert_eq!(refused(&table), None, "9 is newer than 8");
    assert!(table.config_status().refused.is_empty());
    offer(&table, order(10, 1), false, &events);
    offer(&table, order(9, 1), true, &events);
    assert_eq!(refused(&table), None, "the operators withdrew 10");
    events.take();
    offer(&table, order(10, 1), false, &events);
    assert_eq!(refused(&table), Some(10), "10 is back");
    assert_eq!(events.take(), [], "10 was reported before");
    let (long, peer) = (Err("x".repeat(1 << 20)), vm("e9"));
    table.offer_config(at(NOW), order(11, 1), long, b"", Source::Peer(&peer), &events);
    assert_eq!(
        table.config_status().refusal.unwrap().reason.len(),
        MAX_TEXT_BYTES,
        "memory is bounded"
    );
}

/// Guards against a VM list that goes back after the platform was rebuilt with lower versions,
/// without notice.
#[test]
fn list_of_rebuilt_platform() {
    let (table, events) = (DocumentTable::new(), Events::default());
    let offer = |version: u64, entries: &[&str]| {
        let source = Source::Platform { sent_at: at(NOW) };
        let order = order(version, version);
        table.offer_list(at(NOW), order, Ok(list(version, entries)), b"", source, &events)
    };
    assert_eq!(offer(7, &["e1", "e2"]), Decision::Accepted);
    assert_eq!(offer(1, &["e1"]), Decision::Older);
    assert_eq!(events.take(), [Event::ListAccepted(7), Event::ListStale(1, 7)]);
    assert_eq!(table.list_status().stale, Some(order(1, 1)));
    assert_eq!(table.list_status().accepted.unwrap().value.vms().len(), 2);
    assert_eq!(offer(8, &["e1"]), Decision::Accepted);
    assert_eq!(table.list_status().stale, None);
}

/// Guards against requests that see half an intent, or that copy it.
#[test]
fn snapshot() {
    let (table, events) = (DocumentTable::new(), Events::default());
    offer(&table, order(1, 1), true, &events);
    assert!(table.snapshot().is_none());
    let peer = vm("e2");
    let document = Ok(list(3, &["e1"]));
    table.offer_list(at(NOW), order(3, 3), document, b"", Source::Peer(&peer), &events);
    let first = table.snapshot().unwrap();
    assert_eq!((first.config.revision(), first.list.version()), (1, 3));
    assert!(Arc::ptr_eq(&first, &table.snapshot().unwrap()));
    offer(&table, order(2, 2), true, &events);
    let second = table.snapshot().unwrap();
    assert_eq!((second.config_version, second.list_version), (order(2, 2), order(3, 3)));
    assert!(Arc::ptr_eq(&first.list, &second.list));
}

/// Guards against a fence that takes a platform with old data for one that tells the intent.
#[test]
fn platform_reads() {
    let (table, events) = (DocumentTable::new(), Events::default());
    let read = |asked: u64, revision: u64| {
        let (source, order) = (Source::Platform { sent_at: at(asked) }, order(revision, 1));
        table.offer_config(at(asked), order, Ok(config(revision)), b"", source, &events);
    };
    let platform = |answered: u64, current: u64| PlatformReads {
        answered_at: Some(at(answered)),
        current_at: Some(at(current)),
    };
    read(10, 5);
    assert_eq!(table.platform_reads(), PlatformReads::default(), "the VM list was not read yet");
    let source = Source::Platform { sent_at: at(500) };
    table.offer_list(at(501), order(1, 1), Ok(list(1, &[])), b"", source, &events);
    assert_eq!(table.platform_reads(), platform(10, 10));
    table.mark_config_unchanged(at(20), &events);
    assert_eq!(table.platform_reads(), platform(20, 20));
    read(30, 4);
    assert_eq!(table.platform_reads(), platform(30, 20), "an older document");
    read(40, 6);
    assert_eq!(table.platform_reads(), platform(40, 40));
    pass_on(&table, order(7, 1), true, &events);
    events.take();
    table.mark_config_unchanged(at(50), &events);
    assert_eq!(table.platform_reads(), platform(50, 40), "older than what a peer had");
    assert_eq!(events.take(), [Event::ConfigStale(6, 7)]);
    table.mark_config_missing(at(60));
    assert_eq!(table.platform_reads(), platform(60, 40), "no document");
    offer(&table, order(8, 1), false, &events);
    assert_eq!(table.platform_reads(), platform(500, 500), "a newer document, though not valid");
}

fn orders() -> impl Strategy<Value = (DocumentVersion, bool)> {
    (1u64..6, 0u64..4).prop_map(|(number, digest)| {
        // Whether a document is valid is a property of the document, the same on every entry.
        (order(number, digest), (number * 7 + digest * 3) % 4 != 0)
    })
}

proptest! {
    #![proptest_config(fixed(256))]

    /// Guards against a revert: whatever is offered in whatever order, a table holds the highest
    /// valid document so far.
    #[test]
    fn never_down(offers in prop::collection::vec((orders(), any::<bool>()), 1..40)) {
        let (table, events) = (DocumentTable::new(), Events::default());
        let mut highest = None;
        for ((order, valid), from_platform) in offers {
            let decision = match from_platform {
                true => offer(&table, order, valid, &events),
                false => pass_on(&table, order, valid, &events),
            };
            prop_assert_eq!(decision == Decision::Accepted, valid && Some(order) > highest);
            highest = highest.max(valid.then_some(order));
            prop_assert_eq!(table.versions().0, highest);
            prop_assert!(table.config_status().refused.iter().all(|refused| Some(*refused) > highest));
        }
    }

    /// Guards against entries that stay on different documents: tables that exchange what they have
    /// in any order end with the same document, the highest valid one.
    #[test]
    fn converge(
        offers in prop::collection::vec((0usize..4, orders()), 1..30),
        exchanges in prop::collection::vec((0usize..4, 0usize..4), 0..20),
    ) {
        let events = Events::default();
        let tables: Vec<DocumentTable> = (0..4).map(|_| DocumentTable::new()).collect();
        let highest = offers.iter().filter(|(_, (_, valid))| *valid).map(|(_, (order, _))| *order);
        let highest = highest.max();
        for (index, (order, valid)) in offers {
            offer(&tables[index], order, valid, &events);
        }
        // A ring of exchanges, run as often as there are entries, connects all of them.
        let ring = (0..16).map(|step| (step % 4, (step + 1) % 4));
        for (from, to) in exchanges.into_iter().chain(ring) {
            if let Some(order) = tables[from].versions().0 {
                pass_on(&tables[to], order, true, &events);
            }
        }
        for table in &tables {
            prop_assert_eq!(table.versions().0, highest);
        }
    }
}
