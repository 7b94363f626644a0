use std::collections::BTreeMap;
use std::io;
use std::io::Write;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use super::Context;
use super::POLL_INTERVAL;
use crate::Exit;
use crate::entry_client::EntryClient;
use crate::entry_client::Error;
use crate::fleet;
use crate::fleet::Cursor;
use crate::fleet::DroppedEvents;
use crate::fleet::Endpoint;
use crate::fleet::EventMatcher;
use crate::fleet::Fleet;
use crate::fleet::TimelineEvent;
use crate::fleet::TimelineMerger;
use crate::fleet::UnreachableEntry;
use crate::settings::EventFilter;
use crate::view::timeline;
use jackdawpin_wire::TimelinePage;

/// Largest number of pages read from an entry in one poll, so that an entry that always has another
/// page does not block the others.
const MAX_PAGES_PER_READ: usize = 1_000;

/// Number of polls between two discoveries of the entries.
const POLLS_PER_DISCOVERY: u32 = 10;

/// Prints the events that the entries have.
pub(super) async fn run<C: EntryClient, O: Write, E: Write>(
    client: &C,
    filter: &EventFilter,
    context: &mut Context<'_, O, E>,
) -> io::Result<Exit> {
    let mut fleet = context.discover(client).await;
    let (events, dropped) = TimelinePoller::new(filter).poll(client, &mut fleet).await;
    let findings = fleet::findings(&fleet);
    let text = if context.is_json() {
        timeline::json(&events, &dropped, &fleet, &findings)
    } else {
        timeline::text(&events, &dropped, &fleet, &findings)
    };
    context.print(&text)?;
    context.finish(&fleet, &findings)
}

/// Prints the events that the entries have and then new ones, until the process is stopped. Returns
/// only if no entry answers the first poll or the output cannot be written.
pub(super) async fn follow<C: EntryClient, O: Write, E: Write>(
    client: &C,
    filter: &EventFilter,
    context: &mut Context<'_, O, E>,
) -> io::Result<Exit> {
    let mut poller = TimelinePoller::new(filter);
    let mut ticks = tokio::time::interval(POLL_INTERVAL);
    let mut discovered = Fleet::default();
    let mut unreachable = Vec::new();
    for poll in 0u32.. {
        ticks.tick().await;
        if poll % POLLS_PER_DISCOVERY == 0 {
            discovered = context.discover(client).await;
        }
        if poll == 0 && discovered.reachable.is_empty() {
            context.print(&unreachable_text(context.is_json(), &discovered.unreachable))?;
            return context.finish(&discovered, &[]);
        }
        let mut fleet = discovered.clone();
        let (events, dropped) = poller.poll(client, &mut fleet).await;
        let newly_unreachable = newly_unreachable(&unreachable, &fleet.unreachable);
        context.print(&unreachable_text(context.is_json(), &newly_unreachable))?;
        unreachable = fleet.unreachable;
        let text = if context.is_json() {
            timeline::follow_json(&events, &dropped)
        } else {
            timeline::follow_text(&events, &dropped, timeline::entry_name_width(&discovered))
        };
        context.print(&text)?;
    }
    Ok(Exit::Success)
}

fn unreachable_text(json: bool, entries: &[UnreachableEntry]) -> String {
    if json {
        timeline::unreachable_json_lines(entries)
    } else {
        timeline::unreachable_text(entries)
    }
}

/// The entries of `now` whose address is not in `before`. The reason does not count, because it may
/// change from poll to poll.
fn newly_unreachable(
    before: &[UnreachableEntry],
    now: &[UnreachableEntry],
) -> Vec<UnreachableEntry> {
    let was_unreachable =
        |entry: &&UnreachableEntry| before.iter().any(|old| old.address == entry.address);
    now.iter().filter(|entry| !was_unreachable(entry)).cloned().collect()
}

/// Reads the timelines of all entries, each poll from where the last one ended.
struct TimelinePoller<'a> {
    matcher: EventMatcher<'a>,
    /// Cursor of each entry, by the name of its VM.
    cursors: BTreeMap<String, Cursor>,
    merger: TimelineMerger,
}

impl<'a> TimelinePoller<'a> {
    fn new(filter: &'a EventFilter) -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        let matcher = EventMatcher::new(filter, now_ms);
        Self { matcher, cursors: BTreeMap::new(), merger: TimelineMerger::default() }
    }

    async fn poll<C: EntryClient>(
        &mut self,
        client: &C,
        fleet: &mut Fleet,
    ) -> (Vec<TimelineEvent>, Vec<DroppedEvents>) {
        let cursors = &self.cursors;
        let request = |client: C, endpoint: Endpoint| {
            let vm = endpoint.vm.unwrap_or_default();
            let cursor = cursors.get(&vm).copied().unwrap_or_default();
            async move { read_pages(&client, &endpoint.address, cursor).await }
        };
        let answers = fleet::request_all(client, fleet.endpoints(), request).await;
        let mut pages = Vec::new();
        for (endpoint, answer) in answers {
            match answer {
                Ok((cursor, new_pages)) => {
                    self.cursors.insert(endpoint.vm.unwrap_or_default(), cursor);
                    pages.extend(new_pages);
                }
                Err(error) => fleet.add_unreachable(endpoint, &error),
            }
        }
        self.merger.merge(pages, &self.matcher)
    }
}

/// Reads the pages that an entry has after the cursor.
async fn read_pages<C: EntryClient>(
    client: &C,
    address: &str,
    mut cursor: Cursor,
) -> Result<(Cursor, Vec<TimelinePage>), Error> {
    let mut pages = Vec::new();
    for _ in 0..MAX_PAGES_PER_READ {
        let page = client.timeline(address, cursor.last_number()).await?;
        if cursor.is_outdated(&page) {
            cursor = Cursor::default();
            continue;
        }
        let Some(next) = cursor.advanced_by(&page) else { break };
        cursor = next;
        pages.push(page);
    }
    Ok((cursor, pages))
}
