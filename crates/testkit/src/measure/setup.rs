use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::Error;
use crate::caller::Caller;
use crate::caller::Options;
use crate::caller::Pace;
use crate::caller::Record;
use crate::caller::Target;
use crate::fleet::Fleet;
use crate::fleet::Layout;
use crate::fleet::Service;

/// Time for the entries to become ready.
const READY: Duration = Duration::from_secs(60);
/// Rate and time of the load that makes the servers warm. Entries promise no cold server to anybody for 2.5 s after
/// their start.
const WARM_RATE: f64 = 400.0;
const WARM_TIME: Duration = Duration::from_secs(6);
/// Number of failure domains.
pub const DOMAINS: usize = 4;

/// A service with servers that start warm.
pub fn service(name: &str, servers: usize, flags: &[String]) -> Service {
    let mut all = vec!["--warm".to_owned()];
    all.extend_from_slice(flags);
    Service { name: name.to_owned(), server_count: servers, server_flags: all }
}

/// Starts a fleet with all its entries.
pub async fn start(entries: usize, services: Vec<Service>, defaults: &str) -> Result<Fleet, Error> {
    let layout = Layout {
        domain_count: DOMAINS,
        entry_count: entries,
        services,
        defaults_toml: defaults.to_owned(),
        ..Layout::default()
    };
    let mut fleet = Fleet::start(layout).await?;
    fleet.start_entries(READY).await?;
    Ok(fleet)
}

/// The entries of a fleet as the target of requests for a service.
pub fn through(fleet: &Fleet, service: &str) -> Target {
    Target::Entries { first: fleet.entry_addresses(), service: service.to_owned() }
}

/// Sends a load and returns what became of it.
pub async fn load(options: Options, targets: &[Target]) -> Result<Vec<Record>, Error> {
    let caller = Caller::new(options, targets).await?;
    Ok(caller.run(&CancellationToken::new()).await)
}

/// Sends idempotent requests through the entries until they know the servers to be warm.
pub async fn warm(fleet: &Fleet, service: &str) -> Result<Vec<Record>, Error> {
    let options = Options {
        pace: Pace::Open(WARM_RATE),
        time: WARM_TIME,
        idempotent: 1.0,
        ..Options::default()
    };
    load(options, &[through(fleet, service)]).await
}

/// Milliseconds with fractions.
pub fn millis(micros: u64) -> f64 {
    Duration::from_micros(micros).as_secs_f64() * 1e3
}
