use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use jackdawpin_core::holder::flow::Router;
use jackdawpin_core::holder::flow::VACANCY_POLLERS;
use jackdawpin_core::holder::pool::Pool;
use jackdawpin_core::holder::port::Ports;
use jackdawpin_core::name;

/// Time between two looks at which services there are.
const INTERVAL: Duration = Duration::from_millis(250);

/// Keeps scouts for each service until cancelled.
pub(super) async fn run<O: Ports>(router: Arc<Router<O>>, cancel: CancellationToken) {
    let mut running: HashMap<name::Service, CancellationToken> = HashMap::new();
    loop {
        let routes = router.tables().routes();
        running.retain(|service, token| {
            let kept = routes.get(service.as_str()).is_some();
            if !kept {
                token.cancel();
            }
            kept
        });
        for (service, route) in routes.iter() {
            if !running.contains_key(service) {
                let token = cancel.child_token();
                spawn(&router, route.pool(), &token);
                running.insert(service.clone(), token);
            }
        }
        tokio::select! {
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(INTERVAL) => {}
        }
    }
}

fn spawn<O: Ports>(router: &Arc<Router<O>>, pool: &Arc<Pool>, cancel: &CancellationToken) {
    for number in 0..VACANCY_POLLERS {
        let (router, pool, cancel) = (router.clone(), pool.clone(), cancel.clone());
        tokio::spawn(async move { router.poll_vacancies(&pool, number, &cancel).await });
    }
}
