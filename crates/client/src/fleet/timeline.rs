use std::collections::BTreeMap;

use crate::settings::EventFilter;
use jackdawpin_wire::Event;
use jackdawpin_wire::Stamp;
use jackdawpin_wire::TimelinePage;

/// Position up to which an entry's timeline has been read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cursor {
    incarnation: Option<u64>,
    last_number: u64,
}

impl Cursor {
    /// Number of the last event read; 0 if there is none.
    pub fn last_number(self) -> u64 {
        self.last_number
    }

    /// Whether the entry has restarted since the cursor was last advanced. It then numbers its
    /// events from 1 again, and a page after the cursor may lack some of them.
    pub fn is_outdated(self, page: &TimelinePage) -> bool {
        self.last_number > 0 && self.incarnation != Some(page.incarnation)
    }

    /// The cursor behind the events of the page; `None` if the page has no newer events.
    pub fn advanced_by(self, page: &TimelinePage) -> Option<Self> {
        let number = page.events.last()?.number;
        (number > self.last_number)
            .then_some(Self { incarnation: Some(page.incarnation), last_number: number })
    }
}

/// An event and the entry whose timeline it is on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimelineEvent {
    /// Name of the entry's VM.
    pub entry: String,
    /// The entry's incarnation.
    pub incarnation: u64,
    /// The event.
    pub event: Event,
    /// Whether an event that sorts after this one was returned by an earlier merge.
    pub late: bool,
}

impl TimelineEvent {
    /// Sort key over the events of all entries. Events with the same stamp are sorted by entry.
    pub fn sort_key(&self) -> (Stamp, &str, u64) {
        (self.event.stamp, &self.entry, self.event.number)
    }
}

/// Number of events that an entry no longer has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DroppedEvents {
    /// Name of the entry's VM.
    pub entry: String,
    /// Number of events.
    pub count: u64,
}

/// Selects the events that are shown: an [`EventFilter`] at a point in time.
#[derive(Debug, Clone)]
pub struct EventMatcher<'a> {
    filter: &'a EventFilter,
    earliest_ms: u64,
}

impl<'a> EventMatcher<'a> {
    /// Applies the filter at the time `now_ms`, in milliseconds since the Unix epoch.
    pub fn new(filter: &'a EventFilter, now_ms: u64) -> Self {
        Self { filter, earliest_ms: filter.since.map_or(0, |since| since.unix_millis(now_ms)) }
    }

    fn matches(&self, timeline_event: &TimelineEvent) -> bool {
        let EventFilter { kinds, service, vm, since: _ } = self.filter;
        let event = &timeline_event.event;
        let is_on_or_about =
            |name: &String| timeline_event.entry == *name || event.vm.as_ref() == Some(name);
        event.stamp.millis >= self.earliest_ms
            && (kinds.is_empty() || kinds.contains(&event.kind))
            && service.as_ref().is_none_or(|name| event.service.as_ref() == Some(name))
            && vm.as_ref().is_none_or(is_on_or_about)
    }
}

/// Merges the timelines of all entries.
#[derive(Debug, Clone, Default)]
pub struct TimelineMerger {
    /// Sort key of the last event returned so far.
    last_key: Option<(Stamp, String, u64)>,
}

impl TimelineMerger {
    /// Sorts the matching events of the pages, and counts the events that entries no longer have.
    /// Events that sort before one that an earlier call returned are marked as late.
    pub fn merge(
        &mut self,
        pages: Vec<TimelinePage>,
        matcher: &EventMatcher<'_>,
    ) -> (Vec<TimelineEvent>, Vec<DroppedEvents>) {
        let dropped = dropped_events(&pages);
        let mut events: Vec<TimelineEvent> = pages.into_iter().flat_map(timeline_events).collect();
        events.retain(|timeline_event| matcher.matches(timeline_event));
        events.sort_by(|a, b| a.sort_key().cmp(&b.sort_key()));
        for timeline_event in &mut events {
            timeline_event.late = self.is_late(timeline_event);
        }
        let newest = events.last().filter(|timeline_event| !timeline_event.late);
        if let Some(timeline_event) = newest {
            let (stamp, entry, number) = timeline_event.sort_key();
            self.last_key = Some((stamp, entry.to_owned(), number));
        }
        (events, dropped)
    }

    fn is_late(&self, timeline_event: &TimelineEvent) -> bool {
        let last_key = self.last_key.as_ref();
        last_key.is_some_and(|(stamp, entry, number)| {
            timeline_event.sort_key() < (*stamp, entry, *number)
        })
    }
}

fn timeline_events(page: TimelinePage) -> impl Iterator<Item = TimelineEvent> {
    let TimelinePage { vm, incarnation, dropped: _, events } = page;
    events.into_iter().map(move |event| TimelineEvent {
        entry: vm.clone(),
        incarnation,
        event,
        late: false,
    })
}

fn dropped_events(pages: &[TimelinePage]) -> Vec<DroppedEvents> {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for page in pages.iter().filter(|page| page.dropped > 0) {
        let count = counts.entry(&page.vm).or_default();
        *count = count.saturating_add(page.dropped);
    }
    counts
        .into_iter()
        .map(|(entry, count)| DroppedEvents { entry: entry.to_owned(), count })
        .collect()
}
