use std::collections::BTreeMap;

use crate::settings::Filter;
use jackdawpin_wire::Event;
use jackdawpin_wire::Stamp;
use jackdawpin_wire::TimelinePage;

/// How far an entry's timeline has been read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cursor {
    incarnation: Option<u64>,
    number: u64,
}

impl Cursor {
    /// Number of the last event read; 0 if there is none.
    pub fn number(self) -> u64 {
        self.number
    }

    /// Whether the entry has started again since the cursor was last moved, so that it counts its
    /// events anew and the page may lack some.
    pub fn is_outdated(self, page: &TimelinePage) -> bool {
        self.number > 0 && self.incarnation != Some(page.incarnation)
    }

    /// The cursor after the page; `None` if the page has nothing new.
    pub fn after(self, page: &TimelinePage) -> Option<Self> {
        let number = page.events.last()?.number;
        (number > self.number).then_some(Self { incarnation: Some(page.incarnation), number })
    }
}

/// An event and the entry on whose timeline it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Name of the entry's VM.
    pub entry: String,
    /// The entry's incarnation.
    pub incarnation: u64,
    /// The event.
    pub event: Event,
    /// Whether an event that comes later in the order has been shown before.
    pub late: bool,
}

impl Record {
    /// Place in the order of all events. The names of VMs order events that happened at the same
    /// time.
    pub fn key(&self) -> (Stamp, &str, u64) {
        (self.event.stamp, &self.entry, self.event.number)
    }
}

/// Events that an entry no longer has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gap {
    /// Name of the entry's VM.
    pub entry: String,
    /// Number of events.
    pub dropped: u64,
}

/// Which events are shown.
#[derive(Debug, Clone)]
pub struct Selection<'a> {
    filter: &'a Filter,
    earliest: u64,
}

impl<'a> Selection<'a> {
    /// Applies a filter at the time `now`, in milliseconds since the Unix epoch.
    pub fn new(filter: &'a Filter, now: u64) -> Self {
        Self { filter, earliest: filter.since.map_or(0, |since| since.millis(now)) }
    }

    fn contains(&self, record: &Record) -> bool {
        let Filter { kinds, service, vm, since: _ } = self.filter;
        let event = &record.event;
        let is_vm = |name: &String| record.entry == *name || event.vm.as_ref() == Some(name);
        event.stamp.millis >= self.earliest
            && (kinds.is_empty() || kinds.contains(&event.kind))
            && service.as_ref().is_none_or(|name| event.service.as_ref() == Some(name))
            && vm.as_ref().is_none_or(is_vm)
    }
}

/// Joins the timelines of all entries.
#[derive(Debug, Clone, Default)]
pub struct Merge {
    last: Option<(Stamp, String, u64)>,
}

impl Merge {
    /// Puts the selected events of the pages into one order, and says what entries no longer have.
    /// Events that come before one that an earlier call returned are marked as late.
    pub fn join(
        &mut self,
        pages: Vec<TimelinePage>,
        selection: &Selection<'_>,
    ) -> (Vec<Record>, Vec<Gap>) {
        let gaps = gaps(&pages);
        let mut records: Vec<Record> = pages.into_iter().flat_map(records).collect();
        records.retain(|record| selection.contains(record));
        records.sort_by(|a, b| a.key().cmp(&b.key()));
        for record in &mut records {
            record.late = self.is_late(record);
        }
        let newest = records.last().filter(|record| !record.late);
        if let Some(record) = newest {
            let (stamp, entry, number) = record.key();
            self.last = Some((stamp, entry.to_owned(), number));
        }
        (records, gaps)
    }

    fn is_late(&self, record: &Record) -> bool {
        let last = self.last.as_ref();
        last.is_some_and(|(stamp, entry, number)| record.key() < (*stamp, entry, *number))
    }
}

fn records(page: TimelinePage) -> impl Iterator<Item = Record> {
    let TimelinePage { vm, incarnation, dropped: _, events } = page;
    events.into_iter().map(move |event| Record {
        entry: vm.clone(),
        incarnation,
        event,
        late: false,
    })
}

fn gaps(pages: &[TimelinePage]) -> Vec<Gap> {
    let mut sums: BTreeMap<&str, u64> = BTreeMap::new();
    for page in pages.iter().filter(|page| page.dropped > 0) {
        let sum = sums.entry(&page.vm).or_default();
        *sum = sum.saturating_add(page.dropped);
    }
    sums.into_iter().map(|(entry, dropped)| Gap { entry: entry.to_owned(), dropped }).collect()
}
