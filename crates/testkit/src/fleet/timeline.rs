use std::net::SocketAddr;
use std::time::Duration;

use super::Error;
use crate::http::fetch;
use jackdawpin_wire::Event;
use jackdawpin_wire::TimelinePage;
use jackdawpin_wire::decode;
use jackdawpin_wire::path::TIMELINE;

/// Time within which an entry must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Most pages that are fetched from one entry. Bounds the time spent on an entry that records
/// events faster than they are fetched.
const MAX_PAGES: usize = 100;

/// An event and the entry that recorded it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedEvent {
    /// Name of the entry's VM.
    pub vm: String,
    /// The event.
    pub event: Event,
}

/// Fetches all events that an entry still holds, as one page.
///
/// # Errors
///
/// The entry does not answer within 5 s, or its answer is not a page of the time line.
pub async fn fetch_timeline(control: SocketAddr) -> Result<TimelinePage, Error> {
    let mut timeline = fetch_after(control, 0).await?;
    let mut last_number = timeline.events.last().map(|event| event.number);
    for _ in 1..MAX_PAGES {
        let Some(after) = last_number else { break };
        let next_page = fetch_after(control, after).await?;
        last_number = next_page.events.last().map(|event| event.number);
        timeline.dropped += next_page.dropped;
        timeline.events.extend(next_page.events);
    }
    Ok(timeline)
}

/// Fetches the first page of the events whose number is greater than `after`.
async fn fetch_after(control: SocketAddr, after: u64) -> Result<TimelinePage, Error> {
    let answer =
        fetch(control, "GET", &format!("{TIMELINE}?after={after}"), "", ANSWER_TIMEOUT).await?;
    Ok(decode(&answer.body)?)
}

/// Merges the events of several entries, ordered by their time stamps.
pub fn merge_timelines(pages: impl IntoIterator<Item = TimelinePage>) -> Vec<RecordedEvent> {
    let events = pages.into_iter().flat_map(|page| {
        let TimelinePage { vm, events, .. } = page;
        events.into_iter().map(move |event| RecordedEvent { vm: vm.clone(), event })
    });
    let mut events: Vec<RecordedEvent> = events.collect();
    events.sort_by(|a, b| {
        (a.event.stamp, &a.vm, a.event.number).cmp(&(b.event.stamp, &b.vm, b.event.number))
    });
    events
}
