use std::collections::BTreeMap;
use std::io;
use std::io::Write;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use super::Context;
use super::INTERVAL;
use crate::Exit;
use crate::ask::Ask;
use crate::ask::Error;
use crate::fleet;
use crate::fleet::Cursor;
use crate::fleet::Fleet;
use crate::fleet::Gap;
use crate::fleet::Merge;
use crate::fleet::Place;
use crate::fleet::Record;
use crate::fleet::Selection;
use crate::fleet::Unreachable;
use crate::settings::Filter;
use crate::view::timeline;
use jackdawpin_wire::TimelinePage;

/// Pages read from one entry at a time; an entry that never ends must not hold up the others.
const MAX_PAGES: usize = 1_000;

/// Polls after which the entries are looked for again.
const POLLS_PER_SEARCH: u32 = 10;

/// Shows the events that the entries have.
pub(super) async fn run<A: Ask, O: Write, E: Write>(
    ask: &A,
    filter: &Filter,
    context: &mut Context<'_, O, E>,
) -> io::Result<Exit> {
    let mut fleet = context.gather(ask).await;
    let (records, gaps) = Reader::new(filter).poll(ask, &mut fleet).await;
    let findings = fleet::findings(&fleet);
    let text = if context.is_json() {
        timeline::json(&records, &gaps, &fleet, &findings)
    } else {
        timeline::text(&records, &gaps, &fleet, &findings)
    };
    context.print(&text)?;
    context.finish(&fleet, &findings)
}

/// Shows the events that the entries have and goes on with new ones, until the process is ended.
/// Returns only if no entry answers at first.
pub(super) async fn follow<A: Ask, O: Write, E: Write>(
    ask: &A,
    filter: &Filter,
    context: &mut Context<'_, O, E>,
) -> io::Result<Exit> {
    let mut reader = Reader::new(filter);
    let mut ticks = tokio::time::interval(INTERVAL);
    let mut known = Fleet::default();
    let mut lost = Vec::new();
    for poll in 0u32.. {
        ticks.tick().await;
        if poll % POLLS_PER_SEARCH == 0 {
            known = context.gather(ask).await;
        }
        if poll == 0 && known.members.is_empty() {
            context.print(&lost_text(context.is_json(), &known.unreachable))?;
            return context.finish(&known, &[]);
        }
        let mut fleet = known.clone();
        let (records, gaps) = reader.poll(ask, &mut fleet).await;
        let news = newly_lost(&lost, &fleet.unreachable);
        context.print(&lost_text(context.is_json(), &news))?;
        lost = fleet.unreachable;
        let text = if context.is_json() {
            timeline::follow_json(&records, &gaps)
        } else {
            timeline::follow_text(&records, &gaps, timeline::name_width(&known))
        };
        context.print(&text)?;
    }
    Ok(Exit::Fine)
}

fn lost_text(json: bool, lost: &[Unreachable]) -> String {
    if json { timeline::lost_json(lost) } else { timeline::lost_text(lost) }
}

/// Entries that were reachable before, or were not known. The reason may change from poll to poll.
fn newly_lost(before: &[Unreachable], now: &[Unreachable]) -> Vec<Unreachable> {
    let known = |entry: &&Unreachable| before.iter().any(|old| old.address == entry.address);
    now.iter().filter(|entry| !known(entry)).cloned().collect()
}

/// Reads the timelines of all entries from where it left off.
struct Reader<'a> {
    selection: Selection<'a>,
    cursors: BTreeMap<String, Cursor>,
    merge: Merge,
}

impl<'a> Reader<'a> {
    fn new(filter: &'a Filter) -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        let selection = Selection::new(filter, now);
        Self { selection, cursors: BTreeMap::new(), merge: Merge::default() }
    }

    async fn poll<A: Ask>(&mut self, ask: &A, fleet: &mut Fleet) -> (Vec<Record>, Vec<Gap>) {
        let cursors = &self.cursors;
        let question = |ask: A, place: Place| {
            let vm = place.vm.unwrap_or_default();
            let cursor = cursors.get(&vm).copied().unwrap_or_default();
            async move { read(&ask, &place.address, cursor).await }
        };
        let answers = fleet::all(ask, fleet.places(), question).await;
        let mut pages = Vec::new();
        for (place, answer) in answers {
            match answer {
                Ok((cursor, found)) => {
                    self.cursors.insert(place.vm.unwrap_or_default(), cursor);
                    pages.extend(found);
                }
                Err(error) => fleet.lose(place, &error),
            }
        }
        self.merge.join(pages, &self.selection)
    }
}

/// Reads all that an entry has after the cursor.
async fn read<A: Ask>(
    ask: &A,
    address: &str,
    mut cursor: Cursor,
) -> Result<(Cursor, Vec<TimelinePage>), Error> {
    let mut pages = Vec::new();
    for _ in 0..MAX_PAGES {
        let page = ask.timeline(address, cursor.number()).await?;
        if cursor.is_outdated(&page) {
            cursor = Cursor::default();
            continue;
        }
        let Some(next) = cursor.after(&page) else { break };
        cursor = next;
        pages.push(page);
    }
    Ok((cursor, pages))
}
