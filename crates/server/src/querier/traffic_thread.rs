//! A traffic thread: its listener, its query engine, its attempts.

use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use grebepath_core::config::types::ClientLimits;
use grebepath_core::consts;
use grebepath_core::query::engine::QueryEngine;
use grebepath_core::query::event::{Command, Event, OutgoingAttempt};
use grebepath_core::query::request::Outcome;
use grebepath_core::query::service_retry_budget::{RetryRate, ServiceRetryBudget};
use grebepath_core::rollout::trial::ExposureLimit;
use grebepath_core::time::ms;
use grebepath_runtime::clock::{Clock, duration};
use grebepath_runtime::forwarding_server::{ForwardingServer, ListenerLimits};
use grebepath_runtime::http::server;
use grebepath_runtime::leaf_connections::LeafPool;
use grebepath_runtime::platform_api::PlatformApi;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::task::AbortHandle;
use tracing::error;

use crate::caller_listener;
use crate::messages::{CallerRequest, MembershipInput, Threads, TrafficInput};

/// Time for responses that are written already to leave, once asked to stop.
const LAST_WRITES: Duration = Duration::from_millis(200);

/// What a traffic thread begins with.
pub struct Start {
    /// Its name, which its attempts bear.
    pub name: String,
    /// The zone that leafs are preferred in.
    pub zone: String,
    /// Seeds its random numbers.
    pub seed: u64,
    /// The process's clock.
    pub clock: Clock,
    /// Listens for callers.
    pub listener: std::net::TcpListener,
    /// Takes this thread's own inputs.
    pub inputs: UnboundedSender<TrafficInput>,
    /// All threads of the process.
    pub threads: Threads,
    /// Tells when to stop.
    pub stop: watch::Receiver<bool>,
    /// How callers and leafs speak; nothing for our own interface.
    pub platform_api: Option<&'static PlatformApi>,
    /// The fleet's retry budget for calls that are forwarded.
    pub retry_rate: RetryRate,
    /// How much may reach a version that is tried.
    pub exposure_limit: ExposureLimit,
    /// This thread's stable number in the membership.
    pub slot: u64,
}

/// The query engine with everything around it.
struct TrafficThread {
    clock: Clock,
    engine: QueryEngine,
    io: TrafficIo,
    /// Whether to say when no call is in flight any more.
    draining: bool,
}

/// Beside the engine: who waits for an outcome, and the attempts' tasks.
struct TrafficIo {
    waiting: HashMap<u64, oneshot::Sender<Outcome>>,
    /// A task ends with its attempt, by an abort, or with the thread's `LocalSet`.
    attempts: HashMap<u64, AbortHandle>,
    leafs: Rc<LeafPool>,
    platform_api: Option<&'static PlatformApi>,
    forwarding: Rc<ForwardingServer>,
    inputs: UnboundedSender<TrafficInput>,
    membership: UnboundedSender<MembershipInput>,
    /// This thread's stable number.
    thread: u64,
}

/// Runs the thread until told to stop.
pub fn serve(start: Start, inputs: UnboundedReceiver<TrafficInput>) {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return error!("a traffic thread can't run: {e}"),
    };
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async move {
        let forwarding = ForwardingServer::new();
        let thread = TrafficThread::new(&start, forwarding.clone());
        let mut stop = start.stop.clone();
        let listener = serve_callers(start, forwarding.clone());
        tokio::select! {
            end = listener => {
                if let Err(e) = end {
                    error!("the callers' door: {e}");
                }
            }
            _ = thread.run(inputs) => {}
            // The listener's own wait for kept-alive connections may take long.
            _ = async {
                let _ = stop.wait_for(|stop| *stop).await;
                forwarding.close();
                tokio::time::sleep(LAST_WRITES).await;
            } => {}
        }
    });
}

/// Serves callers, by the platform's interface or by ours.
fn serve_callers(
    start: Start,
    forwarding: Rc<ForwardingServer>,
) -> impl Future<Output = std::io::Result<()>> {
    let Start { listener, inputs, threads, platform_api, mut stop, .. } = start;
    async move {
        if let Some(api) = platform_api {
            caller_listener::forward(listener, forwarding, inputs, api).await;
            return Ok(());
        }
        let router = caller_listener::router(threads, inputs);
        let until = async move {
            let _ = stop.wait_for(|stop| *stop).await;
        };
        server::serve(listener, consts::MAX_CALLER_CONNECTIONS, router, until).await
    }
}

impl TrafficThread {
    fn new(start: &Start, forwarding: Rc<ForwardingServer>) -> TrafficThread {
        let mut engine = QueryEngine::new(&start.name, &start.zone, start.seed, start.clock.now());
        engine.service_retry_budget = ServiceRetryBudget::new(start.retry_rate);
        engine.thread_id = start.slot;
        engine.trials.limit = start.exposure_limit;
        let io = TrafficIo {
            waiting: HashMap::new(),
            attempts: HashMap::new(),
            leafs: LeafPool::new(consts::MAX_IDLE_LEAF_CONNECTIONS),
            platform_api: start.platform_api,
            forwarding,
            inputs: start.inputs.clone(),
            membership: start.threads.membership.clone(),
            thread: start.slot,
        };
        TrafficThread { clock: start.clock, engine, io, draining: false }
    }

    /// Handles one event after another, until nobody can send any more.
    async fn run(mut self, mut inputs: UnboundedReceiver<TrafficInput>) {
        loop {
            let due = self.engine.next_due().map(|at| self.clock.instant(at));
            let event = tokio::select! {
                biased;
                input = inputs.recv() => match input {
                    None => return,
                    Some(input) => self.take(input),
                },
                () = until(due) => Some(Event::Timer),
            };
            if let Some(event) = event {
                self.io.note(&event);
                let commands = self.engine.step(self.clock.now(), event);
                self.io.carry_out(commands);
            }
            if self.draining && self.engine.queries.is_empty() {
                self.draining = false;
                let _ = self.io.membership.send(MembershipInput::Drained);
            }
        }
    }

    /// What an input means for the engine, if anything.
    fn take(&mut self, input: TrafficInput) -> Option<Event> {
        match input {
            TrafficInput::Event(event) => {
                if let Event::AttemptEnded { attempt: dispatch, .. } = &event {
                    self.io.attempts.remove(dispatch);
                }
                Some(event)
            }
            TrafficInput::Call { call, request, reply } => {
                self.io.waiting.insert(call, reply);
                Some(match request {
                    CallerRequest::Search(ask) => Event::Search { call, request: ask },
                    CallerRequest::Forward(parcel) => Event::Forward { call, request: parcel },
                })
            }
            TrafficInput::Leaving => {
                self.io.forwarding.leaving.set(true);
                None
            }
            TrafficInput::Metrics(reply) => {
                let _ = reply.send(self.engine.current_statistics());
                None
            }
            TrafficInput::Drain => {
                self.draining = true;
                None
            }
        }
    }
}

impl TrafficIo {
    /// Follows what an event changes here, before the engine sees it.
    fn note(&mut self, event: &Event) {
        match event {
            Event::CallerGone { call } => {
                self.waiting.remove(call);
            }
            Event::ClusterView(view) => self.set_limits(&view.routing_table.client_limits),
            _ => {}
        }
    }

    /// Holds callers to what the configuration allows them; zero stands for our default.
    fn set_limits(&self, client_limits: &ClientLimits) {
        let default = ListenerLimits::default();
        let size = |bytes: u64, default| if bytes > 0 { bytes as usize } else { default };
        let time = |millis: u64, default| if millis > 0 { duration(ms(millis)) } else { default };
        self.forwarding.limits.set(ListenerLimits {
            head_max: size(client_limits.head_max, default.head_max),
            body_max: size(client_limits.body_max, default.body_max),
            head_timeout: time(client_limits.head_wait_ms, default.head_timeout),
            idle: time(client_limits.idle_ms, default.idle),
        });
    }

    /// Carries out what the engine asks.
    fn carry_out(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Send(sending) => self.send(sending),
                Command::CancelAttempt { attempt: dispatch } => {
                    if let Some(task) = self.attempts.remove(&dispatch) {
                        task.abort();
                    }
                }
                Command::Respond { call, outcome } => {
                    if let Some(reply) = self.waiting.remove(&call) {
                        let _ = reply.send(outcome);
                    }
                }
                Command::ReportLeaf { service, report } => {
                    let _ = self.membership.send(MembershipInput::LeafReport { service, report });
                }
                Command::ReportTrial(evidence) => {
                    let thread = self.thread;
                    let _ =
                        self.membership.send(MembershipInput::TrialEvidence { thread, evidence });
                }
            }
        }
    }

    fn send(&mut self, sending: OutgoingAttempt) {
        let (leafs, inputs) = (self.leafs.clone(), self.inputs.clone());
        let dispatch = sending.attempt;
        let platform_api = self.platform_api.filter(|_| sending.forwarded.is_some());
        let task = tokio::task::spawn_local(async move {
            let got = match platform_api {
                Some(api) => crate::leaf_client::forward(&leafs, sending, api).await,
                None => crate::leaf_client::send(&leafs, sending).await,
            };
            let _ = inputs
                .send(TrafficInput::Event(Event::AttemptEnded { attempt: dispatch, result: got }));
        });
        self.attempts.insert(dispatch, task.abort_handle());
    }
}

/// Waits until an instant; for ever if there is none.
async fn until(at: Option<tokio::time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
