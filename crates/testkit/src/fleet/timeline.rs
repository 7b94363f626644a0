use std::net::SocketAddr;
use std::time::Duration;

use super::Error;
use crate::http::fetch;
use jackdawpin_wire::Event;
use jackdawpin_wire::Page;
use jackdawpin_wire::decode;
use jackdawpin_wire::path::TIMELINE;

/// Time for an entry to answer.
const LIMIT: Duration = Duration::from_secs(5);
/// Most pages that are asked of one entry, so that one that records faster than it is read does not hold the caller.
const MAX_PAGES: usize = 100;

/// An event and the entry that recorded it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedEvent {
    /// Name of the entry's VM.
    pub vm: String,
    /// The event.
    pub event: Event,
}

/// Asks an entry for all events that it still has.
///
/// # Errors
///
/// The entry does not answer, or not with a page.
pub async fn fetch_timeline(control: SocketAddr) -> Result<Page, Error> {
    let mut whole = fetch_after(control, 0).await?;
    let mut last = whole.events.last().map(|event| event.number);
    for _ in 1..MAX_PAGES {
        let Some(after) = last else { break };
        let next = fetch_after(control, after).await?;
        last = next.events.last().map(|event| event.number);
        whole.dropped += next.dropped;
        whole.events.extend(next.events);
    }
    Ok(whole)
}

async fn fetch_after(control: SocketAddr, after: u64) -> Result<Page, Error> {
    let answer = fetch(control, "GET", &format!("{TIMELINE}?after={after}"), "", LIMIT).await?;
    Ok(decode(&answer.body)?)
}

/// Puts the events of several entries in one order, by their stamps.
pub fn merge_timelines(pages: impl IntoIterator<Item = Page>) -> Vec<RecordedEvent> {
    let moments = pages.into_iter().flat_map(|page| {
        let Page { vm, events, .. } = page;
        events.into_iter().map(move |event| RecordedEvent { vm: vm.clone(), event })
    });
    let mut moments: Vec<RecordedEvent> = moments.collect();
    moments.sort_by(|a, b| {
        (a.event.stamp, &a.vm, a.event.number).cmp(&(b.event.stamp, &b.vm, b.event.number))
    });
    moments
}
