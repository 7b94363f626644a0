use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use quick_error::quick_error;
use serde::Serialize;

use super::Class;
use super::Record;
use crate::http::Error as ExchangeError;
use crate::http::fetch;
use crate::server::Counts;
use crate::server::Entry;
use crate::server::Ledger;

/// Time for a server to send its ledger.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(10);
/// Findings listed per kind of violation; the three kinds share the sum.
const MAX_NAMED_PER_KIND: usize = 10;

quick_error! {
    /// Why a ledger could not be fetched.
    #[derive(Debug)]
    pub enum LedgerError {
        /// The server did not answer.
        Fetch(err: ExchangeError) {
            from()
            display("fetching a ledger: {}", err)
            source(err)
        }
        /// The answer is not a ledger.
        Malformed(address: SocketAddr, err: serde_json::Error) {
            display("the ledger of {} is malformed: {}", address, err)
            source(err)
        }
        /// The answer is empty.
        Empty(address: SocketAddr) {
            display("the ledger of {} is empty", address)
        }
    }
}

/// A server's ledger.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ServerLedger {
    /// Counts since its start.
    pub counts: Counts,
    /// The requests that ran.
    pub entries: Vec<Entry>,
}

/// Differences between the outcomes that callers saw and the requests that servers ran.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct Audit {
    /// Non-idempotent requests that ran more than once.
    pub doubled: u64,
    /// Answered requests that are in no ledger.
    pub lost: u64,
    /// Refused requests that ran.
    pub false_refusals: u64,
    /// Unknown and unexplained requests that ran.
    pub unsure_ran: u64,
    /// Unknown and unexplained requests that did not run.
    pub unsure_not_run: u64,
    /// Idempotent requests that ran more than once, which is allowed.
    pub repeated: u64,
    /// Some findings behind the first three counts, each with its request id.
    pub named: Vec<String>,
}

impl From<&Ledger> for ServerLedger {
    fn from(ledger: &Ledger) -> Self {
        Self { counts: ledger.counts.clone(), entries: ledger.entries().collect() }
    }
}

impl Audit {
    /// Compares the records of callers with the ledgers of all servers.
    ///
    /// The ledgers must include every server that was up during the run; without one of them, its
    /// requests are counted as lost.
    pub fn compare<'a>(
        records: impl IntoIterator<Item = &'a Record>,
        ledgers: &[ServerLedger],
    ) -> Self {
        let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
        for entry in ledgers.iter().flat_map(|ledger| &ledger.entries) {
            *runs.entry(&entry.id).or_default() += entry.runs;
        }
        let mut audit = Self::default();
        for record in records {
            let run_count = runs.get(record.id.as_str()).copied().unwrap_or(0);
            audit.add(record, run_count);
        }
        audit
    }

    /// Whether no request was doubled, lost or falsely refused.
    pub fn is_clean(&self) -> bool {
        self.doubled == 0 && self.lost == 0 && self.false_refusals == 0
    }

    fn add(&mut self, record: &Record, runs: u32) {
        if runs > 1 && record.idempotent {
            self.repeated += 1;
        }
        if runs > 1 && !record.idempotent {
            self.doubled += 1;
            self.add_named("doubled", record, runs);
        }
        match (record.class, runs) {
            (Class::Answered, 0) => {
                self.lost += 1;
                self.add_named("lost", record, runs);
            }
            (Class::Refused, 1..) => {
                self.false_refusals += 1;
                self.add_named("false refusal", record, runs);
            }
            (Class::Unknown | Class::Unexplained, 0) => self.unsure_not_run += 1,
            (Class::Unknown | Class::Unexplained, 1..) => self.unsure_ran += 1,
            (Class::Answered, 1..) | (Class::Refused, 0) => {}
        }
    }

    fn add_named(&mut self, finding: &str, record: &Record, runs: u32) {
        if self.named.len() < 3 * MAX_NAMED_PER_KIND {
            let Record { id, class, reason, at, .. } = record;
            self.named.push(format!("{finding}: {id} at {at:?}, {class:?} {reason}, ran {runs}x"));
        }
    }
}

impl fmt::Display for Audit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "ledger check: doubled {}, lost {}, false refusals {}; unsure and ran {}, unsure and did not run {}, \
             idempotent and repeated {}",
            self.doubled,
            self.lost,
            self.false_refusals,
            self.unsure_ran,
            self.unsure_not_run,
            self.repeated
        )?;
        for finding in &self.named {
            write!(f, "\n{finding}")?;
        }
        Ok(())
    }
}

/// Fetches a server's ledger.
///
/// # Errors
///
/// The server does not answer within 10 s, or its answer is not a ledger.
pub async fn fetch_ledger(address: SocketAddr) -> Result<ServerLedger, LedgerError> {
    let response = fetch(address, "GET", "/test/ledger", "", LEDGER_TIMEOUT).await?;
    let malformed = |err| LedgerError::Malformed(address, err);
    let mut lines = response.body.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
    let first = lines.next().ok_or(LedgerError::Empty(address))?;
    let counts = serde_json::from_slice(first).map_err(malformed)?;
    let entries = lines.map(serde_json::from_slice).collect::<Result<_, _>>();
    Ok(ServerLedger { counts, entries: entries.map_err(malformed)? })
}

/// Fetches the ledgers of several servers.
///
/// # Errors
///
/// As for [`fetch_ledger`], for the first server that fails.
pub async fn fetch_ledgers(addresses: &[SocketAddr]) -> Result<Vec<ServerLedger>, LedgerError> {
    let mut ledgers = Vec::new();
    for address in addresses {
        ledgers.push(fetch_ledger(*address).await?);
    }
    Ok(ledgers)
}
