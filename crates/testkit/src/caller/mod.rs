//! A load generator that behaves as a caller does and keeps a [`Record`] of each request.
//!
//! It looks up addresses at an entry and uses them for their time to live, sends requests in an
//! open or a closed loop over persistent connections, and checks that each answer is complete and
//! belongs to its own request. Latency counts from the time at which a request was scheduled to be
//! sent, so that a stall is not hidden by the requests that it delays (coordinated omission).
//! [`Report`] and [`Audit`] are computed from the records afterwards.

mod addresses;
mod audit;
mod class;
mod plan;
mod record;
mod report;
mod run;

pub use self::addresses::Address;
pub use self::addresses::Addresses;
pub use self::audit::Audit;
pub use self::audit::LedgerError;
pub use self::audit::ServerLedger;
pub use self::audit::fetch_ledger;
pub use self::audit::fetch_ledgers;
pub use self::class::Class;
pub use self::class::Classification;
pub use self::class::classify;
pub use self::plan::Arrivals;
pub use self::plan::Options;
pub use self::plan::Plan;
pub use self::plan::PlannedRequest;
pub use self::record::Record;
pub use self::report::Latency;
pub use self::report::Report;
pub use self::run::Caller;
pub use self::run::Error;
pub use self::run::Target;
