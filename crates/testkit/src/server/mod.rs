//! A test double of a server of a service.
//!
//! [`Model`] decides what happens to each request: it runs in a slot, waits in a short queue, is
//! shed, or fails in the outage that begins when a cold server receives a second request while it
//! still has one (an [`Overrun`]). It keeps a [`Ledger`] of the requests that ran. [`Adapter`]
//! serves the model over HTTP, with a control interface for tests under `/test/`:
//!
//! | Request | Effect |
//! |---|---|
//! | `GET /test/ledger` | the counts, then one entry per request id, as JSON lines |
//! | `GET /test/counts` | the counts as JSON |
//! | `POST /test/slow?factor=N&ms=N` | work that starts within that time takes N times as long |
//! | `POST /test/fail?ms=N` | new requests fail immediately with status 500 |
//! | `POST /test/silent?ms=N` | nothing is answered, probes included, also after a run |
//! | `POST /test/cut?ms=N` | answers declare more bytes than they contain |
//! | `POST /test/wrong-id?ms=N` | answers carry another request's id |
//! | `POST /test/cold` | the server becomes cold without notice |
//! | `POST /test/mislead?probes=1&answers=1` | load reports always say warm and idle |
//! | `POST /test/drain` | drains as after SIGTERM, but does not exit |
//! | `POST /test/clear` | ends all faults and false load reports |
//!
//! A request counts as run in the ledger when its work starts, and also when it fails in a way that
//! does not prove to its sender that it did not run (an answer with status 500, a broken
//! connection). A [`Journal`] writes the ledger's events to a file, for servers that are killed,
//! restarted or drained before a test fetches the ledger.

mod adapter;
mod answer;
mod control;
mod fault;
mod journal;
mod ledger;
mod load_report;
mod model;
mod options;

pub use self::adapter::Adapter;
pub use self::fault::Fault;
pub use self::fault::Faults;
pub use self::journal::Journal;
pub use self::ledger::Counts;
pub use self::ledger::Entry;
pub use self::ledger::Event;
pub use self::ledger::Ledger;
pub use self::ledger::Overrun;
pub use self::load_report::LoadReport;
pub use self::load_report::Misreporting;
pub use self::load_report::ReportHistory;
pub use self::model::Admission;
pub use self::model::Arrival;
pub use self::model::FailureKind;
pub use self::model::Handle;
pub use self::model::Model;
pub use self::model::Phase;
pub use self::options::Options;
pub use self::options::Work;
