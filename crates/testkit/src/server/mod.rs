//! A stand-in of a server of a service.
//!
//! [`Model`] decides what happens to each request: it runs in a slot, waits in a short queue, is shed, or is lost
//! when a cold server gets more than one request at once and falls over. It keeps a [`Ledger`] of what ran.
//! [`Service`] serves it over HTTP, with a control side for tests under `/test/`:
//!
//! | Request | Effect |
//! |---|---|
//! | `GET /test/ledger` | the counts, then one request id per line, as JSON lines |
//! | `GET /test/counts` | the counts as JSON |
//! | `POST /test/slow?factor=N&ms=N` | work that starts in that time takes longer |
//! | `POST /test/fail?ms=N` | new requests fail at once with status 500 |
//! | `POST /test/silent?ms=N` | nothing is answered, probes included; what ran stays without an answer |
//! | `POST /test/cut?ms=N` | answers declare more bytes than they have |
//! | `POST /test/wrong-id?ms=N` | answers carry another request's id |
//! | `POST /test/cold` | the server turns cold without saying so beforehand |
//! | `POST /test/mislead?probes=1&answers=1` | reports say warm and idle whatever is true |
//! | `POST /test/drain` | as SIGTERM, without the exit |
//! | `POST /test/clear` | ends all faults and misleading reports |
//!
//! A request counts as run in the ledger when its work starts, and also when it fails in a way that proves nothing to
//! its sender (an answer with status 500, a broken connection). A [`Journal`] keeps the ledger in a file, for servers
//! that are killed, restarted or drained before anyone asks.

mod adapter;
mod answer;
mod control;
mod fault;
mod journal;
mod ledger;
mod model;
mod options;
mod report;

pub use self::adapter::Service;
pub use self::fault::Fault;
pub use self::fault::Faults;
pub use self::journal::Journal;
pub use self::ledger::Counts;
pub use self::ledger::Entry;
pub use self::ledger::Event;
pub use self::ledger::Ledger;
pub use self::ledger::Overrun;
pub use self::model::Admission;
pub use self::model::Arrival;
pub use self::model::Manner;
pub use self::model::Model;
pub use self::model::Phase;
pub use self::model::Ticket;
pub use self::options::Options;
pub use self::options::Work;
pub use self::report::Load;
pub use self::report::Mislead;
pub use self::report::Reports;
