//! The header fields of forwarded requests and of the answers to them.

use std::net::Ipv4Addr;
use std::str::FromStr;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use quick_error::quick_error;

use crate::headers;
use jackdawpin_core::direct::dispatch::Origin;
use jackdawpin_core::direct::port::Forward;
use jackdawpin_core::name;
use jackdawpin_core::outcome::Refusal;

/// Address of the entry that passes the request on.
const ENTRY: &str = "jackdawpin-forward-entry";

/// Service that it chose.
const SERVICE: &str = "jackdawpin-forward-service";

/// Version of the configuration that it used.
const CONFIG: &str = "jackdawpin-forward-config";

/// Servers that the request may still be sent to.
const ATTEMPTS: &str = "jackdawpin-forward-attempts";

/// How long the caller has waited, in milliseconds.
const WAITED_MS: &str = "jackdawpin-forward-waited-ms";

/// How the request ended: one of the words of [`Ending`].
const ENDING: &str = "jackdawpin-forward-ending";

/// Why a request was refused, or why it is not known whether it ran.
const REASON: &str = "jackdawpin-forward-reason";

/// Time for which a refused request would go on to be refused, in milliseconds.
const PAUSE_MS: &str = "jackdawpin-forward-pause-ms";

/// Attempts that may have reached a server.
const SENDS: &str = "jackdawpin-forward-sends";

/// The server that answered.
const SERVER: &str = "jackdawpin-forward-server";

/// Fields of requests and answers that are never passed on.
pub(super) const ALL: [&str; 10] =
    [ENTRY, SERVICE, CONFIG, ATTEMPTS, WAITED_MS, ENDING, REASON, PAUSE_MS, SENDS, SERVER];

quick_error! {
    /// Why fields cannot be read.
    #[derive(Debug)]
    pub enum Error {
        /// The field is missing or has no value of its type.
        Field(name: &'static str) {
            display("field {:?} is missing or invalid", name)
        }
    }
}

/// What the entry that passes a request on has decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RequestFields {
    pub(crate) entry: Ipv4Addr,
    pub(crate) service: name::Service,
    pub(crate) config_version: u64,
    pub(crate) max_attempts: u32,
    pub(crate) waited: Duration,
}

impl RequestFields {
    /// The fields of a request that the entry at `own_ip` passes on.
    pub(super) fn new<U>(forward: &Forward<'_, U>, own_ip: Ipv4Addr) -> Self {
        Self {
            entry: own_ip,
            service: forward.service.clone(),
            config_version: forward.config_version,
            max_attempts: forward.max_attempts,
            waited: forward.waited,
        }
    }

    /// The decisions that bind the dispatcher.
    pub(crate) fn origin(&self) -> Origin<'_> {
        Origin { entry: self.entry, service: &self.service, max_attempts: self.max_attempts }
    }

    pub(super) fn insert_into(&self, headers: &mut HeaderMap) {
        insert(headers, ENTRY, self.entry);
        insert(headers, SERVICE, &self.service);
        insert(headers, CONFIG, self.config_version);
        insert(headers, ATTEMPTS, self.max_attempts);
        insert(headers, WAITED_MS, self.waited.as_millis());
    }
}

impl TryFrom<&HeaderMap> for RequestFields {
    type Error = Error;

    fn try_from(headers: &HeaderMap) -> Result<Self, Error> {
        let service = text(headers, SERVICE)?;
        Ok(Self {
            entry: parse(headers, ENTRY)?,
            service: service.try_into().map_err(|_| Error::Field(SERVICE))?,
            config_version: parse(headers, CONFIG)?,
            max_attempts: parse(headers, ATTEMPTS)?,
            waited: Duration::from_millis(parse(headers, WAITED_MS)?),
        })
    }
}

/// How a forwarded request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ending {
    /// A server ran it; the answer is the server's.
    Answered,
    /// It did not run. The time is how long it would go on to be refused.
    Refused(Refusal, Option<Duration>),
    /// It may have run. The flag is whether the time was over.
    Unknown { timed_out: bool },
}

/// What the answer to a forwarded request says beside the server's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct AnswerFields {
    pub(super) ending: Ending,
    pub(super) sends: u32,
    pub(super) server: Option<name::Vm>,
}

const ANSWERED: &str = "answered";
const REFUSED: &str = "refused";
const UNKNOWN: &str = "unknown";
const TIMEOUT: &str = "timeout";
const BROKEN: &str = "broken";

impl AnswerFields {
    pub(super) fn insert_into(&self, headers: &mut HeaderMap) {
        insert(headers, SENDS, self.sends);
        if let Some(server) = &self.server {
            insert(headers, SERVER, server);
        }
        match self.ending {
            Ending::Answered => insert(headers, ENDING, ANSWERED),
            Ending::Refused(refusal, pause) => {
                insert(headers, ENDING, REFUSED);
                insert(headers, REASON, refusal);
                if let Some(pause) = pause {
                    insert(headers, PAUSE_MS, pause.as_millis());
                }
            }
            Ending::Unknown { timed_out } => {
                insert(headers, ENDING, UNKNOWN);
                insert(headers, REASON, if timed_out { TIMEOUT } else { BROKEN });
            }
        }
    }
}

impl TryFrom<&HeaderMap> for AnswerFields {
    type Error = Error;

    fn try_from(headers: &HeaderMap) -> Result<Self, Error> {
        let ending = match text(headers, ENDING)? {
            ANSWERED => Ending::Answered,
            REFUSED => {
                let pause = parse(headers, PAUSE_MS).ok().map(Duration::from_millis);
                // An entry of another build may have reasons that this one does not know.
                let reason = text(headers, REASON).ok().and_then(Refusal::from_code);
                Ending::Refused(reason.unwrap_or(Refusal::Full), pause)
            }
            UNKNOWN => Ending::Unknown { timed_out: text(headers, REASON).ok() == Some(TIMEOUT) },
            _ => return Err(Error::Field(ENDING)),
        };
        let server = text(headers, SERVER).ok().and_then(|server| server.try_into().ok());
        Ok(Self { ending, sends: parse(headers, SENDS)?, server })
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, Error> {
    headers::text(headers, &HeaderName::from_static(name)).ok_or(Error::Field(name))
}

fn parse<T: FromStr>(headers: &HeaderMap, name: &'static str) -> Result<T, Error> {
    text(headers, name)?.parse().map_err(|_| Error::Field(name))
}

/// Sets a field. Numbers, addresses, names and codes are always valid values.
fn insert(headers: &mut HeaderMap, name: &'static str, value: impl ToString) {
    if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
