use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::Error;
use crate::caller::Arrivals;
use crate::caller::Caller;
use crate::caller::Options;
use crate::caller::Record;
use crate::caller::Target;
use crate::fleet::Fleet;
use crate::fleet::Layout;
use crate::fleet::Service;

/// Time within which the entries must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Requests per second of the load that makes the servers warm.
const WARM_UP_RATE: f64 = 400.0;
/// Duration of the load that makes the servers warm. It exceeds 2.5 s, the time after its start in
/// which an entry, as a witness, makes no promise for a cold server.
const WARM_UP_DURATION: Duration = Duration::from_secs(6);
/// Number of failure domains.
pub const DOMAIN_COUNT: usize = 4;

/// A service with servers that start warm.
pub fn service(name: &str, server_count: usize, flags: &[String]) -> Service {
    let mut server_flags = vec!["--warm".to_owned()];
    server_flags.extend_from_slice(flags);
    Service { name: name.to_owned(), server_count, server_flags }
}

/// Starts a fleet and waits until its entries are ready. `defaults_toml` is the content of the
/// configuration's `[defaults]` section.
pub async fn start(
    entry_count: usize,
    services: Vec<Service>,
    defaults_toml: &str,
) -> Result<Fleet, Error> {
    let layout = Layout {
        domain_count: DOMAIN_COUNT,
        entry_count,
        services,
        defaults_toml: defaults_toml.to_owned(),
        ..Layout::default()
    };
    let mut fleet = Fleet::start(layout).await?;
    fleet.start_entries(READY_TIMEOUT).await?;
    Ok(fleet)
}

/// The target of requests for a service that go through the entries of a fleet.
pub fn entries_target(fleet: &Fleet, service: &str) -> Target {
    Target::Entries { initial: fleet.entry_addresses(), service: service.to_owned() }
}

/// Runs a load to its end and returns the record of each request.
pub async fn run_load(options: Options, targets: &[Target]) -> Result<Vec<Record>, Error> {
    let caller = Caller::new(options, targets).await?;
    Ok(caller.run(&CancellationToken::new()).await)
}

/// Sends idempotent requests through the entries for 6 s, so that the servers become warm.
pub async fn warm_up(fleet: &Fleet, service: &str) -> Result<Vec<Record>, Error> {
    let options = Options {
        arrivals: Arrivals::Open(WARM_UP_RATE),
        duration: WARM_UP_DURATION,
        idempotent_share: 1.0,
        ..Options::default()
    };
    run_load(options, &[entries_target(fleet, service)]).await
}

/// Converts microseconds to milliseconds, with fractions.
pub fn to_millis(micros: u64) -> f64 {
    Duration::from_micros(micros).as_secs_f64() * 1e3
}
