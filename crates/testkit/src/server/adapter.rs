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
use super::Fault;
use super::Journal;
use super::Manner;
use super::Model;
use super::Options;
use super::Phase;
use super::Ticket;
use super::answer;
use super::answer::Call;
use super::control;
use crate::http::Body;
use crate::http::Hangup;
use crate::http::Limits;
use crate::http::Running;
use crate::http::Stats;
use crate::http::json;
use crate::http::serve;

/// Time of a probe unless set otherwise.
const PROBE_COST: Duration = Duration::from_millis(5);

/// The model and who waits for a change of phase.
struct Table {
    model: Model,
    waiting: HashMap<Ticket, Arc<Notify>>,
    journal: Option<Journal>,
}

impl Table {
    /// Writes down what happened and wakes whose phase has changed.
    fn settle(&mut self) {
        let events = self.model.take_events();
        // The events must be in the file before the work goes on, or a kill in between would lose them. The write goes
        // to memory of the operating system, so the lock is held for microseconds.
        if let Some(journal) = &mut self.journal
            && let Err(err) = journal.write(&events)
        {
            eprintln!("writing the journal: {err}");
        }
        for ticket in self.model.take_woken() {
            if let Some(notify) = self.waiting.get(&ticket) {
                notify.notify_one();
            }
        }
    }
}

struct Shared {
    table: Mutex<Table>,
    started: Instant,
    probe_cost: Duration,
    padding: usize,
    stats: Arc<Stats>,
    idle: Notify,
}

/// Serves a [`Model`]; clones share it.
#[derive(Clone)]
pub struct Service {
    shared: Arc<Shared>,
}

impl Service {
    /// A server that just started, with probes of about 5 ms.
    pub fn new(options: Options) -> Self {
        Self::with_costs(options, PROBE_COST, 0)
    }

    /// A server that just started, with its own time of a probe and `padding` bytes added to each answer.
    pub fn with_costs(options: Options, probe_cost: Duration, padding: usize) -> Self {
        let model = Model::new(options);
        let table = Table { model, waiting: HashMap::new(), journal: None };
        let shared = Shared {
            table: Mutex::new(table),
            started: Instant::now(),
            probe_cost,
            padding,
            stats: Arc::default(),
            idle: Notify::new(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Writes events to a journal from now on.
    pub fn set_journal(&self, journal: Journal) {
        self.shared.table.lock().journal = Some(journal);
    }

    /// Listens on `address` and serves until `cancel`.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
    pub async fn start(
        &self,
        address: SocketAddr,
        limits: Limits,
        cancel: &CancellationToken,
    ) -> io::Result<Running> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let service = self.clone();
        let stats = Arc::clone(&self.shared.stats);
        let cancel = cancel.clone();
        let task = tokio::spawn(async move {
            let handler = move |request| service.clone().handle(request);
            serve(listener, limits, stats, &cancel, handler).await;
        });
        Ok(Running { address, task })
    }

    /// Changes the model, with the time since the start.
    pub fn change<T>(&self, change: impl FnOnce(&mut Model, Duration) -> T) -> T {
        let mut table = self.shared.table.lock();
        let result = change(&mut table.model, self.shared.started.elapsed());
        table.settle();
        result
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        let mut counts = self.change(|model, _| model.ledger().counts.clone());
        counts.connections = self.shared.stats.opened();
        counts.rejected = self.shared.stats.rejected();
        counts
    }

    /// Refuses new work and waits until nothing is in flight.
    pub async fn drain(&self) {
        self.change(|model, now| model.drain(now));
        while !self.change(|model, _| model.is_idle()) {
            self.shared.idle.notified().await;
        }
    }

    async fn handle(self, request: Request<Incoming>) -> Result<Response<Body>, Hangup> {
        let path = request.uri().path();
        if path == "/load" {
            return self.probe().await;
        }
        if let Some(command) = path.strip_prefix("/test/") {
            return Ok(control::respond(&self, command, request.uri()));
        }
        self.call(request).await
    }

    async fn probe(&self) -> Result<Response<Body>, Hangup> {
        self.silence().await?;
        tokio::time::sleep(self.shared.probe_cost).await;
        let load = self.change(Model::probe);
        Ok(json(StatusCode::OK, load.to_json()))
    }

    async fn call(&self, request: Request<Incoming>) -> Result<Response<Body>, Hangup> {
        let (parts, body) = request.into_parts();
        let call = Call::of(&parts);
        // Nothing runs before the request is whole.
        body.collect().await.map_err(|_| Hangup::OnPurpose)?;
        let entered = match self.enter(&call) {
            Ok(entered) => entered,
            Err(Admission::Shed(reason)) => return self.shed(&call, reason).await,
            Err(Admission::Failed(manner)) => return self.fail(&call, manner).await,
            Err(Admission::Entered(_)) => return Err(Hangup::OnPurpose),
        };
        let end = Instant::now() + call.timeout;
        match tokio::time::timeout_at(end, entered.work()).await {
            Ok(Ok(())) => {
                // While the server is silent the request keeps its slot.
                self.silence().await?;
                entered.complete();
                self.answer(&call)
            }
            Ok(Err(manner)) => {
                drop(entered);
                self.fail(&call, manner).await
            }
            Err(_) => {
                let waited = entered.phase() == Phase::Waiting;
                drop(entered);
                self.late(&call, waited).await
            }
        }
    }

    fn enter(&self, call: &Call<'_>) -> Result<Entered<'_>, Admission> {
        let arrival = Arrival { id: call.id, attempt: call.attempt };
        let mut table = self.shared.table.lock();
        let admission = table.model.arrive(self.shared.started.elapsed(), &arrival);
        let notify = Arc::new(Notify::new());
        if let Admission::Entered(ticket) = admission {
            table.waiting.insert(ticket, Arc::clone(&notify));
        }
        table.settle();
        match admission {
            Admission::Entered(ticket) => Ok(Entered { service: self, ticket, notify }),
            refused => Err(refused),
        }
    }

    fn answer(&self, call: &Call<'_>) -> Result<Response<Body>, Hangup> {
        let padding = self.shared.padding;
        let (load, faults) = self.change(|model, now| (model.load(now), Faulty::of(model, now)));
        let wrong = format!("other-{}", call.id);
        let echoed = if faults.wrong_id { Call { id: &wrong, ..*call } } else { *call };
        Ok(answer::whole(&echoed, load, padding, faults.cut))
    }

    async fn shed(&self, call: &Call<'_>, reason: &str) -> Result<Response<Body>, Hangup> {
        self.silence().await?;
        Ok(answer::not_run(call, self.change(Model::load), reason))
    }

    async fn fail(&self, call: &Call<'_>, manner: Manner) -> Result<Response<Body>, Hangup> {
        self.silence().await?;
        match manner {
            Manner::Error => {
                let load = self.change(Model::load);
                Ok(answer::failed(call, load, StatusCode::INTERNAL_SERVER_ERROR))
            }
            Manner::Hangup => Err(Hangup::OnPurpose),
        }
    }

    async fn late(&self, call: &Call<'_>, waited: bool) -> Result<Response<Body>, Hangup> {
        if waited {
            return self.shed(call, "deadline").await;
        }
        self.silence().await?;
        let load = self.change(Model::load);
        Ok(answer::failed(call, load, StatusCode::GATEWAY_TIMEOUT))
    }

    /// While the server is silent, waits for the end of that and asks to close the connection.
    async fn silence(&self) -> Result<(), Hangup> {
        let mut silent = false;
        while let Some(left) = self.change(|model, now| model.faults.left(Fault::Silent, now)) {
            silent = true;
            tokio::time::sleep(left).await;
        }
        if silent { Err(Hangup::OnPurpose) } else { Ok(()) }
    }
}

/// The faults that change an answer.
struct Faulty {
    cut: bool,
    wrong_id: bool,
}

impl Faulty {
    fn of(model: &Model, now: Duration) -> Self {
        Self {
            cut: model.faults.is_on(Fault::Cut, now),
            wrong_id: model.faults.is_on(Fault::WrongId, now),
        }
    }
}

/// A request on the server. Its slot is freed when it is dropped, also when its sender closes the connection.
struct Entered<'a> {
    service: &'a Service,
    ticket: Ticket,
    notify: Arc<Notify>,
}

impl Entered<'_> {
    fn phase(&self) -> Phase {
        self.service.change(|model, _| model.phase(self.ticket))
    }

    /// Waits for a slot and does the work.
    async fn work(&self) -> Result<(), Manner> {
        loop {
            match self.phase() {
                Phase::Waiting => self.notify.notified().await,
                // The timer's granularity is 1 ms, so work without a time must not use it.
                Phase::Running(time) if time.is_zero() => return Ok(()),
                Phase::Running(time) => tokio::select! {
                    () = tokio::time::sleep(time) => return Ok(()),
                    () = self.notify.notified() => {}
                },
                Phase::Failed(manner) => return Err(manner),
            }
        }
    }

    fn complete(self) {
        self.service.change(|model, now| model.complete(now, self.ticket));
    }
}

impl Drop for Entered<'_> {
    fn drop(&mut self) {
        let mut table = self.service.shared.table.lock();
        table.model.stop(self.service.shared.started.elapsed(), self.ticket);
        table.waiting.remove(&self.ticket);
        table.settle();
        if table.model.is_idle() {
            self.service.shared.idle.notify_one();
        }
    }
}
