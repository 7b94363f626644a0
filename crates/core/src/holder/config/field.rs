//! The fields of a policy by their names in the configuration document, with their ranges and units
//! and the scopes in which they can be changed.
//!
//! Ranges are defined only here. The parser of documents sets values through this module, so that
//! it can report the position of a value out of range, and the builder checks complete policies
//! with it.

use std::ops::RangeInclusive;
use std::time::Duration;

use super::Error;
use super::Override;
use super::Policy;
use super::Scope;

/// The type of a field's value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FieldKind {
    /// A whole number in the range; durations are in milliseconds.
    Number(RangeInclusive<u64>),
    /// A list of HTTP methods.
    Methods,
}

/// A field of a policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field {
    /// Name in the configuration document.
    pub name: &'static str,
    /// Type of the value.
    pub kind: FieldKind,
    /// Whether it applies to a request before a server is chosen, so that it cannot be changed for
    /// a server or a failure domain.
    pub per_request: bool,
}

/// All fields, in the order of the documentation.
pub static FIELDS: [Field; 14] = [
    number("slots", 1..=1_000, false),
    number("connections", 1..=100_000, false),
    number("queue", 0..=100_000, true),
    number("timeout_ms", 1..=600_000, true),
    number("max_timeout_ms", 1..=600_000, true),
    number("attempts", 1..=10, true),
    number("retry_permille", 0..=1_000, true),
    number("retry_burst", 0..=10_000, true),
    number("probes_per_minute", 1..=6_000, false),
    number("address_ttl_ms", 100..=60_000, true),
    number("warm_after", 1..=1_000, false),
    number("cold_factor", 2..=1_000, false),
    number("body_limit_bytes", 1..=64 << 20, true),
    Field { name: "idempotent_methods", kind: FieldKind::Methods, per_request: true },
];

const fn number(name: &'static str, range: RangeInclusive<u64>, per_request: bool) -> Field {
    Field { name, kind: FieldKind::Number(range), per_request }
}

impl Field {
    /// The field of the given name.
    pub fn find(name: &str) -> Option<&'static Self> {
        FIELDS.iter().find(|field| field.name == name)
    }

    /// Checks that an exception of the given scope may change the field.
    ///
    /// # Errors
    ///
    /// [`Error::RequestValue`] if the scope is a server or a failure domain and the field applies
    /// before a server is chosen.
    pub fn check_scope(&self, scope: &Scope) -> Result<(), Error> {
        match scope {
            Scope::Server(..) | Scope::Domain(..) if self.per_request => {
                Err(Error::RequestValue(self.name))
            }
            _ => Ok(()),
        }
    }

    fn check_number(&self, value: u64) -> Result<(), Error> {
        match &self.kind {
            FieldKind::Number(range) if !range.contains(&value) => {
                Err(Error::Range(self.name, value, range.clone()))
            }
            _ => Ok(()),
        }
    }
}

impl Override {
    /// Sets a field that holds a number. A field that holds something else stays as it is.
    ///
    /// # Errors
    ///
    /// [`Error::Range`] if the value is out of range; nothing is changed then.
    pub fn set_number(&mut self, field: &Field, value: u64) -> Result<(), Error> {
        field.check_number(value)?;
        let duration = Some(Duration::from_millis(value));
        // The ranges of all fields that are stored in 32 bits end far below 2^32.
        let count = u32::try_from(value).ok();
        match field.name {
            "slots" => self.slots = count,
            "connections" => self.connections = count,
            "queue" => self.queue = count,
            "timeout_ms" => self.timeout = duration,
            "max_timeout_ms" => self.max_timeout = duration,
            "attempts" => self.attempts = count,
            "retry_permille" => self.retry_permille = count,
            "retry_burst" => self.retry_burst = count,
            "probes_per_minute" => self.probes_per_minute = count,
            "address_ttl_ms" => self.address_ttl = duration,
            "warm_after" => self.warm_after = count,
            "cold_factor" => self.cold_factor = count,
            "body_limit_bytes" => self.body_limit = Some(value),
            _ => {}
        }
        Ok(())
    }

    /// Sets the idempotent methods.
    ///
    /// # Errors
    ///
    /// [`Error::Method`] for the first method that is not in upper-case letters; nothing is changed
    /// then.
    pub fn set_methods(&mut self, methods: Vec<Box<str>>) -> Result<(), Error> {
        check_methods(&methods)?;
        self.idempotent_methods = Some(methods);
        Ok(())
    }

    /// Whether the override sets the field of the given name.
    pub fn changes(&self, field: &str) -> bool {
        match field {
            "slots" => self.slots.is_some(),
            "connections" => self.connections.is_some(),
            "queue" => self.queue.is_some(),
            "timeout_ms" => self.timeout.is_some(),
            "max_timeout_ms" => self.max_timeout.is_some(),
            "attempts" => self.attempts.is_some(),
            "retry_permille" => self.retry_permille.is_some(),
            "retry_burst" => self.retry_burst.is_some(),
            "probes_per_minute" => self.probes_per_minute.is_some(),
            "address_ttl_ms" => self.address_ttl.is_some(),
            "warm_after" => self.warm_after.is_some(),
            "cold_factor" => self.cold_factor.is_some(),
            "body_limit_bytes" => self.body_limit.is_some(),
            "idempotent_methods" => self.idempotent_methods.is_some(),
            _ => false,
        }
    }
}

impl Policy {
    /// The fields that hold numbers, in the order of [`FIELDS`]; durations are in milliseconds.
    pub fn numbers(&self) -> [(&'static str, u64); 13] {
        [
            ("slots", self.slots.into()),
            ("connections", self.connections.into()),
            ("queue", self.queue.into()),
            ("timeout_ms", millis(self.timeout)),
            ("max_timeout_ms", millis(self.max_timeout)),
            ("attempts", self.attempts.into()),
            ("retry_permille", self.retry_permille.into()),
            ("retry_burst", self.retry_burst.into()),
            ("probes_per_minute", self.probes_per_minute.into()),
            ("address_ttl_ms", millis(self.address_ttl)),
            ("warm_after", self.warm_after.into()),
            ("cold_factor", self.cold_factor.into()),
            ("body_limit_bytes", self.body_limit),
        ]
    }

    /// Checks that each value is in its range and that values do not contradict each other.
    ///
    /// # Errors
    ///
    /// The first value that is out of range or contradicts another.
    pub fn check(&self) -> Result<(), Error> {
        for (field, (_, value)) in FIELDS.iter().zip(self.numbers()) {
            field.check_number(value)?;
        }
        check_methods(&self.idempotent_methods)?;
        if self.timeout > self.max_timeout {
            return Err(Error::Order("timeout_ms", "max_timeout_ms"));
        }
        check_connections(self.slots, self.connections)
    }
}

/// Checks that a server accepts more connections than it has slots: the concurrency limit of a warm
/// server is one above its slots, and each request in flight takes a connection.
pub(super) fn check_connections(slots: u32, connections: u32) -> Result<(), Error> {
    if slots < connections { Ok(()) } else { Err(Error::Connections) }
}

fn check_methods(methods: &[Box<str>]) -> Result<(), Error> {
    match methods.iter().find(|method| !is_method(method)) {
        Some(method) => Err(Error::Method(method.clone())),
        None => Ok(()),
    }
}

fn is_method(method: &str) -> bool {
    !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase())
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
