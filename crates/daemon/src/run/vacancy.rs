//! Runs the tasks that ask peers for free slots.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use jackdawpin_core::holder::flow::Router;
use jackdawpin_core::holder::flow::VACANCY_POLLERS;
use jackdawpin_core::holder::pool::Pool;
use jackdawpin_core::holder::port::Ports;
use jackdawpin_core::name;

/// Time between two checks of which services are configured.
const SERVICE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Keeps [`VACANCY_POLLERS`] pollers running for each service of the configuration until cancelled.
pub(super) async fn run<O: Ports>(router: Arc<Router<O>>, cancel: CancellationToken) {
    let mut pollers: HashMap<name::Service, CancellationToken> = HashMap::new();
    loop {
        let routes = router.tables().routes();
        pollers.retain(|service, token| {
            let configured = routes.get(service.as_str()).is_some();
            if !configured {
                token.cancel();
            }
            configured
        });
        for (service, route) in routes.iter() {
            if !pollers.contains_key(service) {
                let token = cancel.child_token();
                spawn_pollers(&router, route.pool(), &token);
                pollers.insert(service.clone(), token);
            }
        }
        tokio::select! {
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(SERVICE_CHECK_INTERVAL) => {}
        }
    }
}

/// Starts the pollers of one service.
fn spawn_pollers<O: Ports>(router: &Arc<Router<O>>, pool: &Arc<Pool>, cancel: &CancellationToken) {
    for number in 0..VACANCY_POLLERS {
        let (router, pool, cancel) = (router.clone(), pool.clone(), cancel.clone());
        tokio::spawn(async move { router.poll_vacancies(&pool, number, &cancel).await });
    }
}
