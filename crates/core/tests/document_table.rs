//! The documents in force: the order of versions, refusals, conflicts and stale documents.

mod intent_support;

use std::sync::Arc;

use crate::intent_support::*;
use jackdawpin_core::holder::config::Config;
use jackdawpin_core::holder::event::MAX_TEXT_BYTES;
use jackdawpin_core::holder::intent::Decision;

/// Time of offers whose time does not matter, in milliseconds.
const NOW: u64 = 1_000;

fn version(number: u64, digest: u64) -> DocumentVersion {
    DocumentVersion { number, digest }
}

/// Offers a configuration from the platform.
fn offer_from_platform(
    table: &DocumentTable,
    version: DocumentVersion,
    valid: bool,
    events: &Events,
) -> Decision {
    let document = document(version, valid);
    let source = Source::Platform { sent_at: at(NOW) };
    table.offer_config(at(NOW), version, document, &version.digest.to_le_bytes(), source, events)
}

/// Offers a configuration from another entry.
fn offer_from_peer(
    table: &DocumentTable,
    version: DocumentVersion,
    valid: bool,
    events: &Events,
) -> Decision {
    let (document, peer) = (document(version, valid), vm("e9"));
    let bytes = version.digest.to_le_bytes();
    table.offer_config(at(NOW), version, document, &bytes, Source::Peer(&peer), events)
}

fn document(version: DocumentVersion, valid: bool) -> Result<Config, String> {
    if valid { Ok(config(version.number)) } else { Err(format!("bad {}", version.number)) }
}

/// Guards against a revert to an older document, a refused document that replaces a valid one, and
/// events that are missing or wrong. The document in force has revision 5 and digest 50.
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
    let offered = version(number, digest);
    let (table, events) = (DocumentTable::new(), Events::default());
    offer_from_platform(&table, version(5, 50), true, &events);
    events.take();
    assert_eq!(offer_from_platform(&table, offered, valid, &events), expected);
    assert_eq!(format!("{:?}", events.take()), expected_events);
    let in_force = if expected == Decision::Accepted { offered } else { version(5, 50) };
    let accepted = table.config_status().accepted.unwrap();
    assert_eq!(accepted.version, in_force);
    assert_eq!(accepted.value.revision(), in_force.number);
    assert_eq!(*accepted.bytes, in_force.digest.to_le_bytes());
    // Reads of the platform return the same document repeatedly; it must not fill the time line.
    offer_from_platform(&table, offered, valid, &events);
    assert_eq!(events.take(), []);
}

/// Guards against a refusal that disappears while the platform still serves the document, stays
/// after it was resolved, or takes unbounded memory.
#[test]
fn refusal_lifetime() {
    let (table, events) = (DocumentTable::new(), Events::default());
    let refused_number =
        |table: &DocumentTable| table.config_status().refusal.map(|refusal| refusal.version.number);
    offer_from_platform(&table, version(5, 1), true, &events);
    offer_from_platform(&table, version(8, 1), false, &events);
    offer_from_peer(&table, version(7, 1), false, &events);
    assert_eq!(refused_number(&table), Some(8), "the newest refusal is kept");
    offer_from_peer(&table, version(6, 1), true, &events);
    assert_eq!(refused_number(&table), Some(8), "6 is accepted, the platform still serves 8");
    assert_eq!(table.config_status().refused.as_slice(), [version(8, 1), version(7, 1)]);
    offer_from_platform(&table, version(9, 1), true, &events);
    assert_eq!(refused_number(&table), None, "9 is newer than 8");
    assert!(table.config_status().refused.is_empty());
    offer_from_platform(&table, version(10, 1), false, &events);
    offer_from_platform(&table, version(9, 1), true, &events);
    assert_eq!(refused_number(&table), None, "the operators withdrew 10");
    events.take();
    offer_from_platform(&table, version(10, 1), false, &events);
    assert_eq!(refused_number(&table), Some(10), "10 is back");
    assert_eq!(events.take(), [], "10 was reported before");
    let (long, peer) = (Err("x".repeat(1 << 20)), vm("e9"));
    table.offer_config(at(NOW), version(11, 1), long, b"", Source::Peer(&peer), &events);
    assert_eq!(
        table.config_status().refusal.unwrap().reason.len(),
        MAX_TEXT_BYTES,
        "memory is bounded"
    );
}

/// Guards against a VM list that reverts after the platform was rebuilt with lower versions, and
/// against an old list that is not reported.
#[test]
fn list_of_rebuilt_platform() {
    let (table, events) = (DocumentTable::new(), Events::default());
    let offer = |number: u64, entries: &[&str]| {
        let source = Source::Platform { sent_at: at(NOW) };
        let version = version(number, number);
        table.offer_list(at(NOW), version, Ok(list(number, entries)), b"", source, &events)
    };
    assert_eq!(offer(7, &["e1", "e2"]), Decision::Accepted);
    assert_eq!(offer(1, &["e1"]), Decision::Older);
    assert_eq!(events.take(), [Event::ListAccepted(7), Event::ListStale(1, 7)]);
    assert_eq!(table.list_status().stale, Some(version(1, 1)));
    assert_eq!(table.list_status().accepted.unwrap().value.vms().len(), 2);
    assert_eq!(offer(8, &["e1"]), Decision::Accepted);
    assert_eq!(table.list_status().stale, None);
}

/// Guards against requests that see only one of the documents, and against a snapshot that copies
/// them.
#[test]
fn snapshot() {
    let (table, events) = (DocumentTable::new(), Events::default());
    offer_from_platform(&table, version(1, 1), true, &events);
    assert!(table.snapshot().is_none());
    let peer = vm("e2");
    let document = Ok(list(3, &["e1"]));
    table.offer_list(at(NOW), version(3, 3), document, b"", Source::Peer(&peer), &events);
    let first = table.snapshot().unwrap();
    assert_eq!((first.config.revision(), first.list.version()), (1, 3));
    assert!(Arc::ptr_eq(&first, &table.snapshot().unwrap()));
    offer_from_platform(&table, version(2, 2), true, &events);
    let second = table.snapshot().unwrap();
    assert_eq!((second.config_version, second.list_version), (version(2, 2), version(3, 3)));
    assert!(Arc::ptr_eq(&first.list, &second.list));
}

/// Guards against a read of old data that counts as one of the current intent.
#[test]
fn platform_reads() {
    let (table, events) = (DocumentTable::new(), Events::default());
    let read = |sent_at: u64, revision: u64| {
        let (source, version) = (Source::Platform { sent_at: at(sent_at) }, version(revision, 1));
        table.offer_config(at(sent_at), version, Ok(config(revision)), b"", source, &events);
    };
    let reads = |answered: u64, current: u64| PlatformReads {
        answered_at: Some(at(answered)),
        current_at: Some(at(current)),
    };
    read(10, 5);
    assert_eq!(table.platform_reads(), PlatformReads::default(), "the VM list was not read yet");
    let source = Source::Platform { sent_at: at(500) };
    table.offer_list(at(501), version(1, 1), Ok(list(1, &[])), b"", source, &events);
    assert_eq!(table.platform_reads(), reads(10, 10));
    table.mark_config_unchanged(at(20), &events);
    assert_eq!(table.platform_reads(), reads(20, 20));
    read(30, 4);
    assert_eq!(table.platform_reads(), reads(30, 20), "an older document");
    read(40, 6);
    assert_eq!(table.platform_reads(), reads(40, 40));
    offer_from_peer(&table, version(7, 1), true, &events);
    events.take();
    table.mark_config_unchanged(at(50), &events);
    assert_eq!(table.platform_reads(), reads(50, 40), "older than what a peer had");
    assert_eq!(events.take(), [Event::ConfigStale(6, 7)]);
    table.mark_config_missing(at(60));
    assert_eq!(table.platform_reads(), reads(60, 40), "no document");
    offer_from_platform(&table, version(8, 1), false, &events);
    assert_eq!(table.platform_reads(), reads(500, 500), "a newer document, though not valid");
}

/// A strategy of versions, each with whether its document is valid.
fn versions() -> impl Strategy<Value = (DocumentVersion, bool)> {
    (1u64..6, 0u64..4).prop_map(|(number, digest)| {
        // Whether a document is valid is a property of the document, the same on every entry.
        (version(number, digest), (number * 7 + digest * 3) % 4 != 0)
    })
}

proptest! {
    #![proptest_config(deterministic(256))]

    /// Guards against a revert: whatever is offered in whatever order, the document in force is the
    /// valid one with the highest version so far.
    #[test]
    fn version_never_decreases(
        offers in prop::collection::vec((versions(), any::<bool>()), 1..40),
    ) {
        let (table, events) = (DocumentTable::new(), Events::default());
        let mut highest = None;
        for ((version, valid), from_platform) in offers {
            let decision = match from_platform {
                true => offer_from_platform(&table, version, valid, &events),
                false => offer_from_peer(&table, version, valid, &events),
            };
            prop_assert_eq!(decision == Decision::Accepted, valid && Some(version) > highest);
            highest = highest.max(valid.then_some(version));
            prop_assert_eq!(table.versions().0, highest);
            prop_assert!(
                table.config_status().refused.iter().all(|refused| Some(*refused) > highest)
            );
        }
    }

    /// Guards against entries that stay on different documents: tables that exchange their
    /// documents in any order end with the same one, the valid one with the highest version.
    #[test]
    fn exchanges_converge(
        offers in prop::collection::vec((0usize..4, versions()), 1..30),
        exchanges in prop::collection::vec((0usize..4, 0usize..4), 0..20),
    ) {
        let events = Events::default();
        let tables: Vec<DocumentTable> = (0..4).map(|_| DocumentTable::new()).collect();
        let highest = offers
            .iter()
            .filter(|(_, (_, valid))| *valid)
            .map(|(_, (version, _))| *version);
        let highest = highest.max();
        for (index, (version, valid)) in offers {
            offer_from_platform(&tables[index], version, valid, &events);
        }
        // A ring of exchanges, run as often as there are tables, connects all of them.
        let ring = (0..16).map(|step| (step % 4, (step + 1) % 4));
        for (from, to) in exchanges.into_iter().chain(ring) {
            if let Some(version) = tables[from].versions().0 {
                offer_from_peer(&tables[to], version, true, &events);
            }
        }
        for table in &tables {
            prop_assert_eq!(table.versions().0, highest);
        }
    }
}
