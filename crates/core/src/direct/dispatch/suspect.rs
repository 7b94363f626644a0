//! Finds out whether a server crashed under a request, and holds back requests that crash servers.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;

use super::Call;
use super::Dispatcher;
use super::call::Progress;
use crate::direct::fleet::Pick;
use crate::direct::fleet::Scope;
use crate::direct::fleet::ServerNames;
use crate::direct::port::Backend;
use crate::direct::port::Verdict;
use crate::direct::suspects::Fingerprint;
use crate::direct::suspects::Judgement;
use crate::direct::suspects::ServerProcess;
use crate::name;
use crate::port::Clock;
use crate::port::Random;
use crate::time::Instant;

/// Timeout of the probe that shows whether a server has crashed. A crashed one refuses the
/// connection, or does not answer.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_millis(150);

impl<B: Backend, C: Clock, R: Random> Dispatcher<B, C, R> {
    /// For how long the request is held back, because servers crashed under it; `None` if it may be
    /// sent.
    pub(super) fn hold(&self, call: &Call<'_, B::Upload>) -> Option<Duration> {
        if self.suspects.is_empty() {
            return None;
        }
        let now = self.clock.now();
        let request = Fingerprint::from(call.content);
        let may_try = || self.peers.rank(&request.to_string(), now) == 0;
        match self.suspects.judge(&request, now, may_try) {
            Judgement::Clear => None,
            Judgement::Held(hold) => Some(hold),
        }
    }

    /// Whether a server has crashed under the request. Such a request is not hedged, and shares its server
    /// with no other one.
    pub(super) fn is_suspect(&self, call: &Call<'_, B::Upload>) -> bool {
        !self.suspects.is_empty() && self.suspects.is_suspect(&Fingerprint::from(call.content))
    }

    /// The servers that the request must not be sent to: those that it was sent to, and those that are
    /// running another suspect request if it is `suspect` itself.
    pub(super) fn excluded_servers(&self, tried: &ServerNames, suspect: bool) -> ServerNames {
        let mut excluded = tried.clone();
        if suspect {
            excluded.extend(self.suspects.occupied());
        }
        excluded
    }

    /// Records what the end of the attempt at `pick` shows about the request: an answer clears it. If the
    /// server may have crashed, returns the task that finds out and records a crash.
    pub(super) fn record_suspect(
        self: &Arc<Self>,
        call: &Call<'_, B::Upload>,
        service: &name::Service,
        pick: &Pick,
        verdict: &Verdict,
    ) -> Option<JoinHandle<()>> {
        match verdict {
            Verdict::Ran(_) if !self.suspects.is_empty() => {
                self.suspects.record_answer(Fingerprint::from(call.content), self.clock.now());
                None
            }
            verdict if verdict.may_be_crash() => {
                Some(self.spawn_crash_probe(Fingerprint::from(call.content), service, pick))
            }
            _ => None,
        }
    }

    /// Waits until it is known whether the last server has crashed, at most until the deadline of the
    /// request. A further attempt must not be made before, in case the request was the cause.
    pub(super) async fn await_crash_probe(
        &self,
        call: &Call<'_, B::Upload>,
        progress: &mut Progress,
    ) {
        let may_retry = progress.sends < call.max_attempts();
        if let Some(probe) = progress.crash_probe.take().filter(|_| may_retry) {
            tokio::select! {
                // The task never panics and is not cancelled.
                _ = probe => {}
                () = self.clock.sleep_until(call.deadline()) => {}
            }
        }
    }

    /// Records a crash of the server of `pick` if it can no longer be reached although other servers
    /// can. The task goes on if the caller of the request leaves.
    fn spawn_crash_probe(
        self: &Arc<Self>,
        request: Fingerprint,
        service: &name::Service,
        pick: &Pick,
    ) -> JoinHandle<()> {
        {
            let mut usage = self.usage.lock();
            usage.probes.spend(1);
            usage.counts.probes += 1;
        }
        let dispatcher = Arc::clone(self);
        let (service, server) = (service.clone(), pick.server.clone());
        let (address, started_ms) = (pick.address, pick.started_ms);
        tokio::spawn(async move {
            let Some(path) = dispatcher.probe_path(&service) else {
                return;
            };
            let probed_at = dispatcher.clock.now();
            let probe = dispatcher.backend.probe(address, &path, CRASH_PROBE_TIMEOUT).await;
            let survived = probe
                .is_some_and(|answer| answer.server.as_ref().is_none_or(|name| *name == server));
            if !survived && dispatcher.has_contact_without(&service, &server, probed_at).await {
                let process = ServerProcess::new(&server, started_ms);
                dispatcher.suspects.record_crash(request, process, dispatcher.clock.now());
            }
        })
    }

    /// Whether another server of `service` than `server` has answered since `since`, or answers now. If
    /// none does, the entry may have lost its links, which shows nothing about `server`.
    async fn has_contact_without(
        self: &Arc<Self>,
        service: &name::Service,
        server: &name::Vm,
        since: Instant,
    ) -> bool {
        let answered = || self.fleet.has_answered_since(service.as_str(), since);
        if !answered() {
            let none = ServerNames::new();
            let considered = ServerNames::from_iter([server.clone()]);
            self.probe_round(service, Scope::All, &considered, &none).await;
        }
        answered()
    }
}
