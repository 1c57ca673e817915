//! The membership thread: updates, lease, membership and assignments. Feeds the node
//! agent with events, one at a time, and carries out its commands.

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
use crate::membership_io::{MembershipIo, Published, Tag};
use crate::messages::{MembershipInput, TrafficInput};
use crate::settings::Settings;

/// Time for the connections' tasks to write the last messages.
const LAST_WRITES: Duration = Duration::from_millis(20);

/// What the thread begins with.
pub struct Start {
    /// The settings.
    pub settings: Settings,
    /// The process's clock.
    pub clock: Clock,
    /// Listens for controllers and other members.
    pub listener: std::net::TcpListener,
    /// The listener for checks of readiness, if it is one of its own.
    pub readiness: Option<ReadinessListener>,
    /// The traffic threads.
    pub traffic: Vec<UnboundedSender<TrafficInput>>,
    /// Takes what this thread publishes.
    pub published: Published,
    /// Takes what this thread's own tasks bring.
    pub inputs: UnboundedSender<MembershipInput>,
}

/// The node agent with everything around it.
struct MembershipThread {
    clock: Clock,
    agent: NodeAgent,
    io: MembershipIo,
    /// How long calls in flight may take after the request to stop.
    drain_max: Span,
    /// Traffic threads that have calls in flight.
    undrained: usize,
    /// Set by the request to stop: until then the calls in flight are waited for.
    stop_by: Option<Instant>,
    /// Whether the traffic threads were told to finish.
    draining: bool,
}

/// Serves until asked to stop and drained.
pub async fn serve(
    start: Start,
    mut inputs: UnboundedReceiver<MembershipInput>,
) -> Result<(), std::io::Error> {
    let Start { settings, clock, listener, readiness, traffic, published, .. } = start;
    listener.set_nonblocking(true)?;
    let bound = listener.local_addr()?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    // Without a bound of its own: see `Connections::new`.
    let (events, mut connection_events) = unbounded_channel();
    tokio::task::spawn_local(accept(listener, settings.fleet, events.clone()));
    let me = Member {
        name: settings.name.clone(),
        addr: settings.advertise.unwrap_or(bound).to_string(),
        zone: settings.zone.clone(),
        threads: settings.threads,
        joined: 0,
        incarnation: nonce(),
    };
    let mut agent = NodeAgent::new(me, clock.now());
    let mut drain_max = consts::DRAIN_TIMEOUT;
    if let Some(grace) = settings.grace {
        agent.drain_notice = grace * consts::DRAIN_NOTICE_PCT / 100;
        drain_max = grace.saturating_sub(consts::GRACE_RESERVE);
    }
    if let (Some(readiness), Some(api)) = (readiness, settings.platform_api) {
        tokio::task::spawn_local(readiness.serve(api.readiness_path, traffic[0].clone()));
    }
    let undrained = traffic.len();
    let mut io = MembershipIo::new(&settings, traffic, published, start.inputs, events);
    let mut settings_watch = SettingsWatch::new(settings.file.as_deref());
    io.arrange(&agent);
    let mut thread =
        MembershipThread { clock, agent, io, drain_max, undrained, stop_by: None, draining: false };
    thread.run(&mut inputs, &mut connection_events, &mut settings_watch).await;
    // Gives the lease back, so that our share is free at once.
    thread.step(Event::Drained);
    tokio::time::sleep(LAST_WRITES).await;
    Ok(())
}

impl MembershipThread {
    /// Handles one event after another, until asked to stop and drained.
    async fn run(
        &mut self,
        inputs: &mut UnboundedReceiver<MembershipInput>,
        connection_events: &mut UnboundedReceiver<ConnectionEvent<Tag>>,
        settings_watch: &mut SettingsWatch,
    ) {
        let mut wake = tokio::time::interval(duration(WAKE_INTERVAL));
        wake.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let stop = grebepath_runtime::stop::requested();
        tokio::pin!(stop);
        while !self.may_end() {
            let event = tokio::select! {
                biased;
                _ = &mut stop, if self.stop_by.is_none() => {
                    self.stop_by = Some(Instant::now() + duration(self.drain_max));
                    self.io.tell_traffic(|| TrafficInput::Leaving);
                    Some(Event::Stop)
                }
                _ = settings_watch.changed() => {
                    self.io.reload_settings();
                    None
                }
                _ = wake.tick() => {
                    self.io.note_wake(&self.agent);
                    Some(Event::Wake)
                }
                Some(input) = inputs.recv() => self.take(input),
                Some(event) = connection_events.recv() => self.io.take(&self.agent, event),
            };
            if let Some(event) = event {
                self.step(event);
            }
            if self.io.closed && !self.draining {
                self.draining = true;
                self.io.tell_traffic(|| TrafficInput::Drain);
            }
        }
    }

    /// Whether the request to stop has come, and no call is in flight or waited for.
    fn may_end(&self) -> bool {
        self.stop_by.is_some_and(|stop_by| self.undrained == 0 || Instant::now() >= stop_by)
    }

    fn step(&mut self, event: Event) {
        let commands = self.agent.step(self.clock.now(), event);
        self.io.carry_out(&self.agent, commands);
    }

    /// What another thread's or a task's input means for the node agent, if anything.
    fn take(&mut self, input: MembershipInput) -> Option<Event> {
        match input {
            MembershipInput::LeafReport { service, report } => {
                Some(Event::LeafReport { service, report })
            }
            MembershipInput::TrialEvidence { thread, evidence } => {
                Some(Event::TrialEvidence { thread, evidence })
            }
            MembershipInput::LeafList { leafs, pages } => {
                self.io.leaf_list.note_end(pages);
                Some(Event::LeafList(leafs.map_err(|error| error.to_string())))
            }
            MembershipInput::Metrics(reply) => {
                let _ = reply.send(crate::metrics::membership(&self.agent));
                None
            }
            MembershipInput::Drained => {
                self.undrained -= 1;
                None
            }
        }
    }
}
