//! Which entries are responsible for a server, in order.
//!
//! Rendezvous hashing: each live entry gets a score for the server from a hash of the entry's and
//! the server's names, and the entries are ordered by score. All entries compute the same order
//! from the same list without talking to each other, and adding or removing an entry changes
//! nothing among the others. Entries of the server's failure domain come before those of its
//! region, and these before the rest.
//!
//! The hash is xxh3, whose results are the same on all platforms and in all versions. A change of
//! the hash or of its input would make entries of different releases disagree during an upgrade.

mod quorum;
mod ranking;

use smallvec::SmallVec;

use crate::holder::member::Vm;
use crate::holder::member::VmList;
use crate::name;

pub use self::quorum::MAX_WITNESSES;
pub use self::quorum::quorum;
pub use self::ranking::Ranking;

/// The witnesses of a server, best rank first.
pub type Witnesses<'a> = SmallVec<[&'a Vm; MAX_WITNESSES]>;

/// All live entries of `list` for `server`, best rank first. See [`Ranking::order`].
pub fn order<'a>(list: &'a VmList, server: &Vm) -> Vec<&'a Vm> {
    Ranking::new(list).order(server)
}

/// The available entry of the best rank for `server`. See [`Ranking::holder`].
pub fn holder<'a>(
    list: &'a VmList,
    server: &Vm,
    available: impl Fn(&name::Vm) -> bool,
) -> Option<&'a Vm> {
    Ranking::new(list).holder(server, available)
}

/// The entries whose promises count for `server`. See [`Ranking::witnesses`].
pub fn witnesses<'a>(list: &'a VmList, server: &Vm) -> Witnesses<'a> {
    Ranking::new(list).witnesses(server)
}
