//! A traffic thread: its door, its desk, its dispatches.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use grebepath_core::config::types::Terms;
use grebepath_core::query::engine::QueryEngine;
use grebepath_core::query::event::{Command, Event};
use grebepath_core::query::forwarded_request::ForwardedRequest;

use grebepath_core::query::request::{Outcome, SearchRequest};
use grebepath_core::query::service_retry_budget::{RetryRate, ServiceRetryBudget};
use grebepath_core::query::statistics::EngineStatistics;

use grebepath_core::time::ms;
use grebepath_runtime::clock::{Clock, duration};
use grebepath_runtime::forwarding_server::{ForwardingServer, ListenerLimits};
use grebepath_runtime::leaf_connections::LeafPool;
use grebepath_runtime::platform_api::PlatformApi;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tracing::error;

use crate::control::Input;
use crate::door::All;

/// What reaches a traffic thread's owner.
pub enum Work {
    Event(Event),
    Call {
        call: u64,
        called: Called,
        tell: oneshot::Sender<Outcome>,
    },
    Counts(oneshot::Sender<EngineStatistics>),
    /// This node will leave soon: callers are asked to go elsewhere.
    Leaving,
    /// Finish what is in hand and say so.
    Drain,
}

/// What a caller wants.
pub enum Called {
    /// An answer to a question of our own.
    Own(SearchRequest),
    /// A call that is handed over.
    Handed(Arc<ForwardedRequest>),
}

/// What a traffic thread begins with.
pub struct Setup {
    pub name: String,
    pub zone: String,
    pub seed: u64,
    pub clock: Clock,
    pub listener: std::net::TcpListener,
    pub here: UnboundedSender<Work>,
    pub all: All,
    pub control: UnboundedSender<Input>,
    pub stop: tokio::sync::watch::Receiver<bool>,
    pub dialect: Option<&'static PlatformApi>,
    pub rate: RetryRate,
    /// This thread's stable number in the membership.
    pub slot: u64,
}

/// Beside the desk: who waits for an outcome, and the dispatches' tasks.
struct Io {
    tells: HashMap<u64, oneshot::Sender<Outcome>>,
    tasks: HashMap<u64, AbortHandle>,
    leafs: Rc<LeafPool>,
    dialect: Option<&'static PlatformApi>,
    door: Rc<ForwardingServer>,
    here: UnboundedSender<Work>,
    control: UnboundedSender<Input>,
}

/// Runs the thread until told to stop.
pub fn serve(s: Setup, rx: UnboundedReceiver<Work>) {
    let rt = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(rt) => rt,
        Err(e) => return error!("a traffic thread can't run: {e}"),
    };
    let local = tokio::task::LocalSet::new();
    local.block_on(&rt, async move {
        let mut stop = s.stop.clone();
        let outer = ForwardingServer::new();
        let (listener, all, here) = (s.listener, s.all, s.here.clone());
        let (dialect, shared) = (s.dialect, outer.clone());
        let door = async move {
            if let Some(dialect) = dialect {
                crate::door::hand(listener, shared, here, dialect).await;
                return Ok(());
            }
            let router = crate::door::router(all, here);
            let until = async move {
                let _ = stop.wait_for(|s| *s).await;
            };
            let connections = grebepath_core::consts::DOOR_WIRES;
            grebepath_runtime::http::server::serve(listener, connections, router, until).await
        };
        let mut desk = QueryEngine::new(&s.name, &s.zone, s.seed, s.clock.now());
        desk.service_retry_budget = ServiceRetryBudget::new(s.rate);
        desk.thread_id = s.slot;
        let desk = Rc::new(RefCell::new(desk));
        let shut = outer.clone();
        let io = Io {
            dialect,
            door: outer,
            tells: HashMap::new(),
            tasks: HashMap::new(),
            leafs: LeafPool::new(grebepath_core::consts::LEAF_WIRES),
            here: s.here,
            control: s.control,
        };
        let own = own(desk, io, s.clock, rx);
        let mut stop = s.stop;
        tokio::select! {
            end = door => {
                if let Err(e) = end {
                    error!("the callers' door: {e}");
                }
            }
            _ = own => {}
            // The door's own wish to finish kept-alive connections may take long.
            _ = async {
                let _ = stop.wait_for(|s| *s).await;
                // Answers that are written already still have to leave.
                shut.close();
                tokio::time::sleep(std::time::Duration::from_millis(200)).await;
            } => {}
        }
    });
}

/// The owner's loop: one event at a time, then the commands.
async fn own(
    desk: Rc<RefCell<QueryEngine>>,
    mut io: Io,
    clock: Clock,
    mut rx: UnboundedReceiver<Work>,
) {
    let mut draining = false;
    loop {
        let due = desk.borrow().next_due();
        let at = due.map(|at| clock.instant(at));
        let event = tokio::select! {
            biased;
            work = rx.recv() => match work {
                None => return,
                Some(Work::Event(event)) => {
                    if let Event::AttemptEnded { attempt: dispatch, .. } = &event {
                        io.tasks.remove(dispatch);
                    }
                    Some(event)
                }
                Some(Work::Call { call, called, tell }) => {
                    io.tells.insert(call, tell);
                    Some(match called {
                        Called::Own(ask) => Event::Search { call, request: ask },
                        Called::Handed(parcel) => Event::Forward { call, request: parcel },
                    })
                }
                Some(Work::Leaving) => {
                    io.door.leaving.set(true);
                    None
                }
                Some(Work::Counts(tell)) => {
                    let _ = tell.send(desk.borrow().current_statistics());
                    None
                }
                Some(Work::Drain) => {
                    draining = true;
                    None
                }
            },
            _ = async { match at {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            } } => Some(Event::Timer),
        };
        if let Some(event) = event {
            match &event {
                Event::CallerGone { call } => {
                    io.tells.remove(call);
                }
                Event::ClusterView(view) => limit(&io.door, &view.built.terms),
                _ => {}
            }
            let todo = desk.borrow_mut().step(clock.now(), event);
            carry_out(&mut io, todo);
        }
        if draining && desk.borrow().queries.is_empty() {
            draining = false;
            let _ = io.control.send(Input::Drained);
        }
    }
}

/// Holds callers to what the configuration allows them.
fn limit(door: &ForwardingServer, terms: &Terms) {
    let own = ListenerLimits::default();
    let size = |n: u64, own| if n > 0 { n as usize } else { own };
    let time = |n: u64, own| if n > 0 { duration(ms(n)) } else { own };
    door.limits.set(ListenerLimits {
        head_max: size(terms.head_max, own.head_max),
        body_max: size(terms.body_max, own.body_max),
        head_wait: time(terms.head_wait_ms, own.head_wait),
        idle: time(terms.idle_ms, own.idle),
    });
}

fn carry_out(io: &mut Io, todo: Vec<Command>) {
    for command in todo {
        match command {
            Command::Send(sending) => {
                let (leafs, here) = (io.leafs.clone(), io.here.clone());
                let dispatch = sending.attempt;
                let dialect = io.dialect.filter(|_| sending.forwarded.is_some());
                let task = tokio::task::spawn_local(async move {
                    let got = match dialect {
                        Some(dialect) => crate::leafs::hand(&leafs, sending, dialect).await,
                        None => crate::leafs::send(&leafs, sending).await,
                    };
                    let _ = here
                        .send(Work::Event(Event::AttemptEnded { attempt: dispatch, result: got }));
                });
                io.tasks.insert(dispatch, task.abort_handle());
            }
            Command::CancelAttempt { attempt: dispatch } => {
                if let Some(task) = io.tasks.remove(&dispatch) {
                    task.abort();
                }
            }
            Command::Respond { call, outcome } => {
                if let Some(tell) = io.tells.remove(&call) {
                    let _ = tell.send(outcome);
                }
            }
            Command::ReportLeaf { service, report: word } => {
                let _ = io.control.send(Input::Word { service, word });
            }
        }
    }
}
