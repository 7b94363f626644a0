use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::Admission;
use super::Arrival;
use super::Counts;
use super::FailureKind;
use super::Fault;
use super::Handle;
use super::Journal;
use super::Model;
use super::Options;
use super::Phase;
use super::answer;
use super::answer::RequestInfo;
use super::control;
use crate::http::Body;
use crate::http::ConnectionStats;
use crate::http::Hangup;
use crate::http::Limits;
use crate::http::RunningServer;
use crate::http::json_response;
use crate::http::serve;

/// Time to answer a probe unless set otherwise.
const DEFAULT_PROBE_TIME: Duration = Duration::from_millis(5);

/// The state behind the lock: the model, and a notifier per admitted request that signals changes
/// of its phase.
struct LockedState {
    model: Model,
    notifiers: HashMap<Handle, Arc<Notify>>,
    journal: Option<Journal>,
}

impl LockedState {
    /// Writes new events to the journal and notifies the requests whose phase has changed.
    fn publish_changes(&mut self) {
        let events = self.model.take_events();
        // The events must be in the file before the work continues, or a kill in between would lose
        // them. The write goes to the page cache, so the lock is held for microseconds only.
        if let Some(journal) = &mut self.journal
            && let Err(err) = journal.write(&events)
        {
            eprintln!("cannot write the journal: {err}");
        }
        for handle in self.model.take_changed() {
            if let Some(notify) = self.notifiers.get(&handle) {
                notify.notify_one();
            }
        }
    }
}

struct Shared {
    state: Mutex<LockedState>,
    started: Instant,
    probe_time: Duration,
    padding: usize,
    stats: Arc<ConnectionStats>,
    became_idle: Notify,
}

/// Serves a [`Model`] over HTTP; clones share the model.
#[derive(Clone)]
pub struct Adapter {
    shared: Arc<Shared>,
}

impl Adapter {
    /// A server that just started and answers probes after about 5 ms.
    pub fn new(options: Options) -> Self {
        Self::with_probe_time(options, DEFAULT_PROBE_TIME, 0)
    }

    /// A server that just started, answers probes after `probe_time` and adds `padding` bytes to
    /// each answer.
    pub fn with_probe_time(options: Options, probe_time: Duration, padding: usize) -> Self {
        let model = Model::new(options);
        let state = LockedState { model, notifiers: HashMap::new(), journal: None };
        let shared = Shared {
            state: Mutex::new(state),
            started: Instant::now(),
            probe_time,
            padding,
            stats: Arc::default(),
            became_idle: Notify::new(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Writes all later events to a journal.
    pub fn set_journal(&self, journal: Journal) {
        self.shared.state.lock().journal = Some(journal);
    }

    /// Listens on `address` and serves until `cancel` is cancelled.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
    pub async fn start(
        &self,
        address: SocketAddr,
        limits: Limits,
        cancel: &CancellationToken,
    ) -> io::Result<RunningServer> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let adapter = self.clone();
        let stats = Arc::clone(&self.shared.stats);
        let cancel = cancel.clone();
        let task = tokio::spawn(async move {
            let handler = move |request| adapter.clone().handle(request);
            serve(listener, limits, stats, &cancel, handler).await;
        });
        Ok(RunningServer { address, task })
    }

    /// Gives access to the model and the time since the start, then publishes the changes.
    pub fn with_model<T>(&self, access: impl FnOnce(&mut Model, Duration) -> T) -> T {
        let mut state = self.shared.state.lock();
        let result = access(&mut state.model, self.shared.started.elapsed());
        state.publish_changes();
        result
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        let mut counts = self.with_model(|model, _| model.ledger().counts.clone());
        counts.connections = self.shared.stats.accepted();
        counts.rejected = self.shared.stats.rejected();
        counts
    }

    /// Sheds new requests and waits until no request is left.
    pub async fn drain(&self) {
        self.with_model(|model, now| model.drain(now));
        while !self.with_model(|model, _| model.is_idle()) {
            self.shared.became_idle.notified().await;
        }
    }

    async fn handle(self, request: Request<Incoming>) -> Result<Response<Body>, Hangup> {
        let path = request.uri().path();
        if path == "/load" {
            return self.answer_probe().await;
        }
        if let Some(command) = path.strip_prefix("/test/") {
            return Ok(control::respond(&self, command, request.uri()));
        }
        self.serve_request(request).await
    }

    async fn answer_probe(&self) -> Result<Response<Body>, Hangup> {
        self.wait_while_silent().await?;
        tokio::time::sleep(self.shared.probe_time).await;
        let report = self.with_model(Model::probe_report);
        Ok(json_response(StatusCode::OK, report.to_json()))
    }

    async fn serve_request(&self, request: Request<Incoming>) -> Result<Response<Body>, Hangup> {
        let (parts, body) = request.into_parts();
        let info = RequestInfo::from_headers(&parts);
        // A request runs only after its whole body has arrived.
        body.collect().await.map_err(|_| Hangup::Intentional)?;
        let admitted = match self.admit(&info) {
            Ok(admitted) => admitted,
            Err(Admission::Shed(reason)) => return self.answer_shed(&info, reason).await,
            Err(Admission::Failed(kind)) => return self.answer_failed(&info, kind).await,
            Err(Admission::Accepted(_)) => return Err(Hangup::Intentional),
        };
        let end = Instant::now() + info.timeout;
        match tokio::time::timeout_at(end, admitted.work()).await {
            Ok(Ok(())) => {
                // The request keeps its slot while the server is silent.
                self.wait_while_silent().await?;
                admitted.complete();
                self.answer_completed(&info)
            }
            Ok(Err(kind)) => {
                drop(admitted);
                self.answer_failed(&info, kind).await
            }
            Err(_) => {
                let waited = admitted.phase() == Phase::Waiting;
                drop(admitted);
                self.answer_timeout(&info, waited).await
            }
        }
    }

    fn admit(&self, info: &RequestInfo<'_>) -> Result<Admitted<'_>, Admission> {
        let arrival = Arrival { id: info.id, attempt: info.attempt };
        let mut state = self.shared.state.lock();
        let admission = state.model.admit(self.shared.started.elapsed(), &arrival);
        let notify = Arc::new(Notify::new());
        if let Admission::Accepted(handle) = admission {
            state.notifiers.insert(handle, Arc::clone(&notify));
        }
        state.publish_changes();
        match admission {
            Admission::Accepted(handle) => Ok(Admitted { adapter: self, handle, notify }),
            rejection => Err(rejection),
        }
    }

    fn answer_completed(&self, info: &RequestInfo<'_>) -> Result<Response<Body>, Hangup> {
        let padding = self.shared.padding;
        let (report, faults) = self
            .with_model(|model, now| (model.answer_report(now), AnswerFaults::active(model, now)));
        let wrong_id = format!("other-{}", info.id);
        let echoed = if faults.wrong_id { RequestInfo { id: &wrong_id, ..*info } } else { *info };
        Ok(answer::completed(&echoed, report, padding, faults.truncate))
    }

    async fn answer_shed(
        &self,
        info: &RequestInfo<'_>,
        reason: &str,
    ) -> Result<Response<Body>, Hangup> {
        self.wait_while_silent().await?;
        Ok(answer::not_run(info, self.with_model(Model::answer_report), reason))
    }

    async fn answer_failed(
        &self,
        info: &RequestInfo<'_>,
        kind: FailureKind,
    ) -> Result<Response<Body>, Hangup> {
        self.wait_while_silent().await?;
        match kind {
            FailureKind::Error => {
                let report = self.with_model(Model::answer_report);
                Ok(answer::failed(info, report, StatusCode::INTERNAL_SERVER_ERROR))
            }
            FailureKind::Hangup => Err(Hangup::Intentional),
        }
    }

    async fn answer_timeout(
        &self,
        info: &RequestInfo<'_>,
        waited: bool,
    ) -> Result<Response<Body>, Hangup> {
        if waited {
            return self.answer_shed(info, "deadline").await;
        }
        self.wait_while_silent().await?;
        let report = self.with_model(Model::answer_report);
        Ok(answer::failed(info, report, StatusCode::GATEWAY_TIMEOUT))
    }

    /// If the server is silent, waits until that fault ends and returns `Hangup`, so that the
    /// connection is closed without an answer.
    async fn wait_while_silent(&self) -> Result<(), Hangup> {
        let mut silent = false;
        while let Some(remaining) =
            self.with_model(|model, now| model.faults.remaining(Fault::Silent, now))
        {
            silent = true;
            tokio::time::sleep(remaining).await;
        }
        if silent { Err(Hangup::Intentional) } else { Ok(()) }
    }
}

/// The active faults that change an answer.
struct AnswerFaults {
    truncate: bool,
    wrong_id: bool,
}

impl AnswerFaults {
    fn active(model: &Model, now: Duration) -> Self {
        Self {
            truncate: model.faults.is_active(Fault::Truncate, now),
            wrong_id: model.faults.is_active(Fault::WrongId, now),
        }
    }
}

/// An admitted request. Dropping it frees its slot, also when its sender closes the connection.
struct Admitted<'a> {
    adapter: &'a Adapter,
    handle: Handle,
    notify: Arc<Notify>,
}

impl Admitted<'_> {
    fn phase(&self) -> Phase {
        self.adapter.with_model(|model, _| model.phase(self.handle))
    }

    /// Waits for a slot and for the duration of the work.
    async fn work(&self) -> Result<(), FailureKind> {
        loop {
            match self.phase() {
                Phase::Waiting => self.notify.notified().await,
                // The timer's granularity is 1 ms, so work that takes no time must not use it.
                Phase::Running(time) if time.is_zero() => return Ok(()),
                Phase::Running(time) => tokio::select! {
                    () = tokio::time::sleep(time) => return Ok(()),
                    () = self.notify.notified() => {}
                },
                Phase::Failed(kind) => return Err(kind),
            }
        }
    }

    fn complete(self) {
        self.adapter.with_model(|model, now| model.complete(now, self.handle));
    }
}

impl Drop for Admitted<'_> {
    fn drop(&mut self) {
        let mut state = self.adapter.shared.state.lock();
        state.model.cancel(self.adapter.shared.started.elapsed(), self.handle);
        state.notifiers.remove(&self.handle);
        state.publish_changes();
        if state.model.is_idle() {
            self.adapter.shared.became_idle.notify_one();
        }
    }
}
