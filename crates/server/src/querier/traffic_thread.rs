//! A traffic thread: a listener, a query engine and the tasks of its attempts.

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
use crate::messages::{CallerRequest, MembershipInput, ThreadChannels, TrafficInput};

/// Time that responses have to be flushed once the thread is asked to stop.
const FINAL_FLUSH_DELAY: Duration = Duration::from_millis(200);

/// Parameters of a traffic thread.
pub struct Params {
    /// The thread's name, which is part of its query ids.
    pub name: String,
    /// The zone whose leafs are preferred.
    pub zone: String,
    /// Seed of its random number generator.
    pub seed: u64,
    /// The process's clock.
    pub clock: Clock,
    /// Listens for callers.
    pub listener: std::net::TcpListener,
    /// Sends inputs to this thread itself.
    pub inputs: UnboundedSender<TrafficInput>,
    /// Channels to all threads of the process.
    pub threads: ThreadChannels,
    /// Becomes true when the thread is to stop.
    pub stop: watch::Receiver<bool>,
    /// The platform's dialect; `None` for grebepath's own interface.
    pub platform_api: Option<&'static PlatformApi>,
    /// The cluster's retry budget for forwarded calls.
    pub retry_rate: RetryRate,
    /// How many requests may reach a version on trial.
    pub exposure_limit: ExposureLimit,
    /// This thread's stable number in the membership.
    pub thread_id: u64,
}

/// The query engine and its I/O.
struct TrafficThread {
    clock: Clock,
    engine: QueryEngine,
    io: TrafficIo,
    /// Whether to notify the membership thread once no call is in flight.
    draining: bool,
}

/// The engine's I/O: calls that wait for an outcome, and the tasks of attempts.
struct TrafficIo {
    pending_calls: HashMap<u64, oneshot::Sender<Outcome>>,
    /// Tasks by attempt. A task ends with its attempt, by an abort or with the `LocalSet`.
    attempts: HashMap<u64, AbortHandle>,
    leafs: Rc<LeafPool>,
    platform_api: Option<&'static PlatformApi>,
    forwarding: Rc<ForwardingServer>,
    inputs: UnboundedSender<TrafficInput>,
    membership: UnboundedSender<MembershipInput>,
    /// This thread's stable number in the membership.
    thread: u64,
}

/// Runs the thread until it is asked to stop.
pub fn serve(params: Params, inputs: UnboundedReceiver<TrafficInput>) {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return error!("a traffic thread failed to start: {e}"),
    };
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async move {
        let forwarding = ForwardingServer::new();
        let thread = TrafficThread::new(&params, forwarding.clone());
        let mut stop = params.stop.clone();
        let listener = serve_callers(params, forwarding.clone());
        tokio::select! {
            end = listener => {
                if let Err(e) = end {
                    error!("the callers' listener failed: {e}");
                }
            }
            _ = thread.run(inputs) => {}
            // Does not wait for the listener, which may take long to close keep-alive connections.
            _ = async {
                let _ = stop.wait_for(|stop| *stop).await;
                forwarding.close();
                tokio::time::sleep(FINAL_FLUSH_DELAY).await;
            } => {}
        }
    });
}

/// Serves callers by the platform's interface or by grebepath's own.
fn serve_callers(
    params: Params,
    forwarding: Rc<ForwardingServer>,
) -> impl Future<Output = std::io::Result<()>> {
    let Params { listener, inputs, threads, platform_api, mut stop, .. } = params;
    async move {
        if let Some(api) = platform_api {
            caller_listener::forward(listener, forwarding, inputs, api).await;
            return Ok(());
        }
        let router = caller_listener::router(threads, inputs);
        let until_stopped = async move {
            let _ = stop.wait_for(|stop| *stop).await;
        };
        server::serve(listener, consts::MAX_CALLER_CONNECTIONS, router, until_stopped).await
    }
}

impl TrafficThread {
    fn new(params: &Params, forwarding: Rc<ForwardingServer>) -> TrafficThread {
        let mut engine =
            QueryEngine::new(&params.name, &params.zone, params.seed, params.clock.now());
        engine.service_retry_budget = ServiceRetryBudget::new(params.retry_rate);
        engine.thread_id = params.thread_id;
        engine.trials.limit = params.exposure_limit;
        let io = TrafficIo {
            pending_calls: HashMap::new(),
            attempts: HashMap::new(),
            leafs: LeafPool::new(consts::MAX_IDLE_LEAF_CONNECTIONS),
            platform_api: params.platform_api,
            forwarding,
            inputs: params.inputs.clone(),
            membership: params.threads.membership.clone(),
            thread: params.thread_id,
        };
        TrafficThread { clock: params.clock, engine, io, draining: false }
    }

    /// Handles events one at a time until all senders of inputs are dropped.
    async fn run(mut self, mut inputs: UnboundedReceiver<TrafficInput>) {
        loop {
            let due = self.engine.next_due().map(|at| self.clock.instant(at));
            let event = tokio::select! {
                biased;
                input = inputs.recv() => match input {
                    None => return,
                    Some(input) => self.handle_input(input),
                },
                () = sleep_until_due(due) => Some(Event::Timer),
            };
            if let Some(event) = event {
                self.io.before_step(&event);
                let commands = self.engine.step(self.clock.now(), event);
                self.io.execute(commands);
            }
            if self.draining && self.engine.queries.is_empty() {
                self.draining = false;
                let _ = self.io.membership.send(MembershipInput::Drained);
            }
        }
    }

    /// Converts an input to an event of the engine, if it has one.
    fn handle_input(&mut self, input: TrafficInput) -> Option<Event> {
        match input {
            TrafficInput::Event(event) => {
                if let Event::AttemptEnded { attempt: attempt_id, .. } = &event {
                    self.io.attempts.remove(attempt_id);
                }
                Some(event)
            }
            TrafficInput::Call { call, request, reply } => {
                self.io.pending_calls.insert(call, reply);
                Some(match request {
                    CallerRequest::Search(request) => Event::Search { call, request },
                    CallerRequest::Forward(request) => Event::Forward { call, request },
                })
            }
            TrafficInput::ShutdownNotice => {
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
    /// Applies an event to this I/O state before the engine processes it.
    fn before_step(&mut self, event: &Event) {
        match event {
            Event::CallerGone { call } => {
                self.pending_calls.remove(call);
            }
            Event::ClusterView(view) => self.set_limits(&view.routing_table.client_limits),
            _ => {}
        }
    }

    /// Applies the configuration's limits for callers; zero selects the default.
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

    /// Executes the engine's commands.
    fn execute(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Send(attempt) => self.send(attempt),
                Command::CancelAttempt { attempt: attempt_id } => {
                    if let Some(task) = self.attempts.remove(&attempt_id) {
                        task.abort();
                    }
                }
                Command::Respond { call, outcome } => {
                    if let Some(reply) = self.pending_calls.remove(&call) {
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

    fn send(&mut self, attempt: OutgoingAttempt) {
        let (leafs, inputs) = (self.leafs.clone(), self.inputs.clone());
        let attempt_id = attempt.attempt;
        let platform_api = self.platform_api.filter(|_| attempt.forwarded.is_some());
        let task = tokio::task::spawn_local(async move {
            let result = match platform_api {
                Some(api) => crate::leaf_client::forward(&leafs, attempt, api).await,
                None => crate::leaf_client::send(&leafs, attempt).await,
            };
            let _ = inputs
                .send(TrafficInput::Event(Event::AttemptEnded { attempt: attempt_id, result }));
        });
        self.attempts.insert(attempt_id, task.abort_handle());
    }
}

/// Waits until an instant, or forever if there is none.
async fn sleep_until_due(at: Option<tokio::time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
