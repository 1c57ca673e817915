//! The membership thread handles updates, the lease, membership and assignments. It passes
//! events to the node agent, one at a time, and executes the agent's commands.

use std::time::Duration;

use grebepath_core::consts;
use grebepath_core::membership::node_agent::{Event, NodeAgent};
use grebepath_core::membership::step::WAKE_INTERVAL;
use grebepath_core::protocol::membership::Member;
use grebepath_core::time::Span;
use grebepath_runtime::clock::{Clock, duration, nonce};
use grebepath_runtime::peer_connection::{ConnectionEvent, accept};
use grebepath_runtime::reload::SettingsWatch;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::Instant;

use crate::caller_listener::ReadinessListener;
use crate::membership_io::{ConnectionTag, MembershipIo, Published};
use crate::messages::{MembershipInput, TrafficInput};
use crate::settings::Settings;

/// Time that the connections' tasks have to write the last messages before the process ends.
const FINAL_FLUSH_DELAY: Duration = Duration::from_millis(20);

/// Parameters of the membership thread.
pub struct Params {
    /// The settings.
    pub settings: Settings,
    /// The process's clock.
    pub clock: Clock,
    /// Listens for controllers and other members.
    pub listener: std::net::TcpListener,
    /// The separate listener for readiness checks, if there is one.
    pub readiness: Option<ReadinessListener>,
    /// Channels to the traffic threads.
    pub traffic: Vec<UnboundedSender<TrafficInput>>,
    /// Channels of the values that this thread publishes.
    pub published: Published,
    /// Receives the results of this thread's own tasks.
    pub inputs: UnboundedSender<MembershipInput>,
}

/// The node agent and its I/O.
struct MembershipThread {
    clock: Clock,
    agent: NodeAgent,
    io: MembershipIo,
    /// Maximum time for which calls in flight are awaited after the stop request.
    drain_max: Span,
    /// Number of traffic threads that have calls in flight.
    undrained_threads: usize,
    /// When calls in flight are no longer awaited; set by the stop request.
    drain_deadline: Option<Instant>,
    /// Whether the traffic threads were told to drain.
    draining: bool,
}

/// Runs until the process is asked to stop and its calls are drained.
pub async fn serve(
    params: Params,
    mut inputs: UnboundedReceiver<MembershipInput>,
) -> Result<(), std::io::Error> {
    let Params { settings, clock, listener, readiness, traffic, published, .. } = params;
    listener.set_nonblocking(true)?;
    let bound = listener.local_addr()?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    // This channel is unbounded: see `Connections::new`.
    let (events, mut connection_events) = unbounded_channel();
    tokio::task::spawn_local(accept(listener, settings.cluster_hash, events.clone()));
    let member = Member {
        name: settings.name.clone(),
        addr: settings.advertise.unwrap_or(bound).to_string(),
        zone: settings.zone.clone(),
        threads: settings.threads,
        joined: 0,
        incarnation: nonce(),
    };
    let mut agent = NodeAgent::new(member, clock.now());
    let mut drain_max = consts::DRAIN_TIMEOUT;
    if let Some(grace) = settings.grace {
        agent.drain_notice = grace * consts::DRAIN_NOTICE_PCT / 100;
        drain_max = grace.saturating_sub(consts::GRACE_RESERVE);
    }
    if let (Some(readiness), Some(api)) = (readiness, settings.platform_api) {
        tokio::task::spawn_local(readiness.serve(api.readiness_path, traffic[0].clone()));
    }
    let undrained_threads = traffic.len();
    let mut io = MembershipIo::new(&settings, traffic, published, params.inputs, events);
    let mut settings_watch = SettingsWatch::new(settings.file.as_deref());
    io.update_connections(&agent);
    let mut thread = MembershipThread {
        clock,
        agent,
        io,
        drain_max,
        undrained_threads,
        drain_deadline: None,
        draining: false,
    };
    thread.run(&mut inputs, &mut connection_events, &mut settings_watch).await;
    // Releases the lease, so that this node's quota share is available to others at once.
    thread.step(Event::Drained);
    tokio::time::sleep(FINAL_FLUSH_DELAY).await;
    Ok(())
}

impl MembershipThread {
    /// Handles events one at a time until the process is asked to stop and its calls are drained.
    async fn run(
        &mut self,
        inputs: &mut UnboundedReceiver<MembershipInput>,
        connection_events: &mut UnboundedReceiver<ConnectionEvent<ConnectionTag>>,
        settings_watch: &mut SettingsWatch,
    ) {
        let mut wake = tokio::time::interval(duration(WAKE_INTERVAL));
        wake.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let stop = grebepath_runtime::stop::requested();
        tokio::pin!(stop);
        while !self.is_finished() {
            let event = tokio::select! {
                biased;
                _ = &mut stop, if self.drain_deadline.is_none() => {
                    self.drain_deadline = Some(Instant::now() + duration(self.drain_max));
                    self.io.send_to_traffic(|| TrafficInput::ShutdownNotice);
                    Some(Event::Stop)
                }
                _ = settings_watch.changed() => {
                    self.io.reload_settings();
                    None
                }
                _ = wake.tick() => {
                    self.io.on_wake(&self.agent);
                    Some(Event::Wake)
                }
                Some(input) = inputs.recv() => self.handle_input(input),
                Some(event) = connection_events.recv() => {
                    self.io.handle_connection_event(&self.agent, event)
                }
            };
            if let Some(event) = event {
                self.step(event);
            }
            if self.io.closed && !self.draining {
                self.draining = true;
                self.io.send_to_traffic(|| TrafficInput::Drain);
            }
        }
    }

    /// Whether the process was asked to stop, and has drained or reached its drain deadline.
    fn is_finished(&self) -> bool {
        self.drain_deadline.is_some_and(|drain_deadline| {
            self.undrained_threads == 0 || Instant::now() >= drain_deadline
        })
    }

    fn step(&mut self, event: Event) {
        let commands = self.agent.step(self.clock.now(), event);
        self.io.execute(&self.agent, commands);
    }

    /// Converts an input of another thread or a task to an event of the node agent, if it has one.
    fn handle_input(&mut self, input: MembershipInput) -> Option<Event> {
        match input {
            MembershipInput::LeafReport { service, report } => {
                Some(Event::LeafReport { service, report })
            }
            MembershipInput::TrialEvidence { thread, evidence } => {
                Some(Event::TrialEvidence { thread, evidence })
            }
            MembershipInput::LeafList { leafs, pages } => {
                self.io.leaf_list.finish_poll(pages);
                Some(Event::LeafList(leafs.map_err(|error| error.to_string())))
            }
            MembershipInput::Metrics(reply) => {
                let _ = reply.send(crate::metrics::membership(&self.agent));
                None
            }
            MembershipInput::Drained => {
                self.undrained_threads -= 1;
                None
            }
        }
    }
}
