//! The answers of all entries.
//!
//! A status answer names the other entries, so one reachable address is enough to find all.
//! [`Roster`] decides whom to ask next and joins the answers; it makes sure that an entry known by
//! several addresses counts once and that an entry that gives no answer stays visible. [`findings`]
//! says what is wrong with the entries that answered.

mod finding;
mod rate;
mod roster;
mod timeline;

use tokio::task::JoinHandle;

use crate::ask::Ask;
use crate::ask::Error;
use jackdawpin_wire::Status;

pub use self::finding::Finding;
pub use self::finding::explanation_findings;
pub use self::finding::findings;
pub use self::rate::Row;
pub use self::rate::rows;
pub use self::roster::Place;
pub use self::roster::Roster;
pub use self::timeline::Cursor;
pub use self::timeline::Gap;
pub use self::timeline::Merge;
pub use self::timeline::Record;
pub use self::timeline::Selection;

/// Questions that are open at the same time.
const MAX_OPEN: usize = 32;

/// An entry that answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The control address that answered.
    pub address: String,
    /// The answer.
    pub status: Status,
}

/// An entry that gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Unreachable {
    /// Name of the VM, if another entry named it.
    pub vm: Option<String>,
    /// Its control address.
    pub address: String,
    /// Why there is no answer.
    pub reason: String,
}

/// All entries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fleet {
    /// The entries that answered, by name.
    pub members: Vec<Member>,
    /// The entries that did not.
    pub unreachable: Vec<Unreachable>,
}

impl Fleet {
    /// The places of the entries that answered.
    pub fn places(&self) -> Vec<Place> {
        let place = |member: &Member| Place {
            vm: Some(member.status.vm.clone()),
            address: member.address.clone(),
        };
        self.members.iter().map(place).collect()
    }

    /// Notes that an entry gave no answer to a later question.
    pub fn lose(&mut self, place: Place, error: &Error) {
        let Place { vm, address } = place;
        self.unreachable.push(Unreachable { vm, address, reason: error.to_string() });
        self.unreachable.sort();
    }
}

/// Asks all entries for their status, those named first and then those that they name.
pub async fn gather<A: Ask>(ask: &A, first: &[String]) -> Fleet {
    let mut roster = Roster::new(first);
    loop {
        let places = roster.next(MAX_OPEN);
        if places.is_empty() {
            return roster.finish();
        }
        let question = |ask: A, place: Place| async move { ask.status(&place.address).await };
        for (place, answer) in all(ask, places, question).await {
            match answer {
                Ok(status) => roster.answered(place, status),
                Err(error) => roster.failed(place, &error),
            }
        }
    }
}

/// Puts a question to several entries at the same time and returns the answers in the order of the
/// places.
pub async fn all<A, T, F, Q>(
    ask: &A,
    places: Vec<Place>,
    question: Q,
) -> Vec<(Place, Result<T, Error>)>
where
    A: Ask,
    T: Send + 'static,
    F: Future<Output = Result<T, Error>> + Send + 'static,
    Q: Fn(A, Place) -> F,
{
    let mut answers = Vec::with_capacity(places.len());
    let mut places = places.into_iter().peekable();
    while places.peek().is_some() {
        let batch = places.by_ref().take(MAX_OPEN);
        let open: Vec<(Place, JoinHandle<_>)> = batch
            .map(|place| {
                let answer = tokio::spawn(question(ask.clone(), place.clone()));
                (place, answer)
            })
            .collect();
        for (place, answer) in open {
            answers.push((place, answer.await.unwrap_or(Err(Error::Stopped))));
        }
    }
    answers
}
