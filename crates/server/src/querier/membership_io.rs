//! The membership thread's I/O: turns received messages into events of the node agent,
//! and executes the agent's commands.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use grebepath_core::consts;
use grebepath_core::membership::node_agent::{Command, Event, NodeAgent};
use grebepath_core::protocol::message::Message;
use grebepath_core::protocol::peer::PeerIdentity;
use grebepath_core::query::{engine, event, quota};
use grebepath_core::snapshot::cluster_view::ClusterView;
use grebepath_core::snapshot::leafs::LeafInfo;
use grebepath_core::voter_set::slot_of;
use grebepath_runtime::connections::Connections;
use grebepath_runtime::http::client::HttpClient;
use grebepath_runtime::peer_connection::{ConnectionEvent, Greeting, MessageSender, dial};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tracing::{debug, warn};

use crate::leaf_list::{LeafList, LeafListPoller};
use crate::messages::{MembershipInput, TrafficInput};
use crate::settings::Settings;

/// Wakes between two updates of the connections to controllers: one second.
const WAKES_PER_CONNECTION_UPDATE: u32 = 20;
/// Maximum number of idle HTTP connections to the list and to each probed leaf.
const IDLE_CONNECTIONS: usize = 2;

/// The connection on which a message was received.
#[derive(Clone)]
pub enum ConnectionTag {
    /// This node's connection to a controller, by the controller's address.
    Controller(SocketAddr),
    /// This node's connection to another member, by the member's name.
    Member(String),
}

/// The values that the membership thread publishes. A watch channel holds only the newest
/// value, so it needs no bound.
pub struct Published {
    /// Whether this node is ready to serve.
    pub ready: watch::Sender<bool>,
    /// The current configuration and leafs.
    pub view: watch::Sender<Arc<ClusterView>>,
}

/// Connections, channels to the traffic threads, and the leaf list's poller.
pub struct MembershipIo {
    name: String,
    cluster_hash: u64,
    controllers: Connections<ConnectionTag>,
    /// Number of wakes since the start.
    wakes: u32,
    /// Connections to other members, by name.
    members: HashMap<String, (SocketAddr, MessageSender)>,
    events: UnboundedSender<ConnectionEvent<ConnectionTag>>,
    traffic: Vec<UnboundedSender<TrafficInput>>,
    published: Published,
    /// Receives the results of polls and probes.
    inputs: UnboundedSender<MembershipInput>,
    http: HttpClient,
    /// Polls the platform's list of leafs.
    pub leaf_list: LeafListPoller,
    probes: bool,
    /// Number of alarms by text: each text is logged at warn level once.
    alarms: HashMap<String, u64>,
    /// Whether the traffic threads were told to accept no more calls.
    pub closed: bool,
}

impl MembershipIo {
    /// Creates the I/O state; no connection is open yet.
    pub fn new(
        settings: &Settings,
        traffic: Vec<UnboundedSender<TrafficInput>>,
        published: Published,
        inputs: UnboundedSender<MembershipInput>,
        events: UnboundedSender<ConnectionEvent<ConnectionTag>>,
    ) -> MembershipIo {
        let identity = PeerIdentity::Member(settings.name.clone());
        let greeting = Greeting { identity, cluster_hash: settings.cluster_hash };
        let http = HttpClient::new(IDLE_CONNECTIONS);
        let list = LeafList {
            address: settings.list,
            platform_api: settings.platform_api,
            http: http.clone(),
        };
        let tag = ConnectionTag::Controller;
        MembershipIo {
            name: settings.name.clone(),
            cluster_hash: settings.cluster_hash,
            controllers: Connections::new(None, &settings.seeds, greeting, tag, events.clone()),
            wakes: 0,
            members: HashMap::new(),
            events,
            traffic,
            published,
            leaf_list: LeafListPoller::new(list, settings.list_rate, inputs.clone()),
            inputs,
            http,
            probes: settings.probes,
            alarms: HashMap::new(),
            closed: false,
        }
    }

    /// Opens and closes connections to controllers according to the voter set.
    pub fn update_connections(&mut self, agent: &NodeAgent) {
        let identity = PeerIdentity::Member(self.name.clone());
        self.controllers.arrange(identity, &agent.voter_set);
    }

    /// Updates the connections to controllers once in `WAKES_PER_CONNECTION_UPDATE` wakes.
    pub fn on_wake(&mut self, agent: &NodeAgent) {
        self.wakes += 1;
        if self.wakes.is_multiple_of(WAKES_PER_CONNECTION_UPDATE) {
            self.update_connections(agent);
        }
    }

    /// Applies those settings that may change while the process runs. Invalid settings
    /// change nothing.
    pub fn reload_settings(&mut self) {
        match Settings::reload() {
            Ok(settings) => {
                self.controllers.set_seeds(&settings.seeds);
                self.send_to_engines(|| event::Event::RetryRate(settings.retry_rate));
                self.send_to_engines(|| event::Event::ExposureLimit(settings.exposure_limit));
            }
            Err(diagnostics) => {
                for diagnostic in diagnostics {
                    warn!(me = self.name, "settings not reloaded: {diagnostic}");
                }
            }
        }
    }

    /// Sends an input to all traffic threads. Threads that have ended are skipped.
    pub fn send_to_traffic(&self, input: impl Fn() -> TrafficInput) {
        for thread in &self.traffic {
            let _ = thread.send(input());
        }
    }

    fn send_to_engines(&self, event: impl Fn() -> event::Event) {
        self.send_to_traffic(|| TrafficInput::Event(event()));
    }

    /// Converts a connection's event to an event of the node agent, if it has one.
    pub fn handle_connection_event(
        &mut self,
        agent: &NodeAgent,
        event: ConnectionEvent<ConnectionTag>,
    ) -> Option<Event> {
        match event {
            ConnectionEvent::Received { tag: ConnectionTag::Controller(address), message } => {
                let controller = self.controllers.note_message(address, &message);
                match message {
                    Message::VoterSetUpdate { voter_set: new_voter_set, .. } => {
                        Some(Event::VoterSet(new_voter_set))
                    }
                    // Messages of a controller without a voter slot are ignored.
                    message => slot_of(&agent.voter_set, controller)
                        .map(|slot| Event::FromVoter { slot, message }),
                }
            }
            ConnectionEvent::Received { tag: ConnectionTag::Member(name), message }
            | ConnectionEvent::ReceivedFromAccepted {
                identity: PeerIdentity::Member(name),
                message,
                ..
            } => Some(Event::FromMember { name, message }),
            ConnectionEvent::Accepted { connection, identity, .. } => {
                debug!(connection, who = ?identity, "connection accepted");
                None
            }
            ConnectionEvent::ReceivedFromAccepted { .. } | ConnectionEvent::Closed { .. } => None,
            ConnectionEvent::Failed { error } => {
                self.alarm(&error.to_string());
                None
            }
        }
    }

    /// Executes the node agent's commands.
    pub fn execute(&mut self, agent: &NodeAgent, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::ToVoter { slot, message } => {
                    self.controllers.send_to_voter(&agent.voter_set, slot, &message);
                }
                Command::Broadcast { message } => self.controllers.broadcast(&message),
                Command::VoterSetChanged => self.update_connections(agent),
                Command::ToMember { name, addr, message } => {
                    self.send_to_member(name, &addr, &message);
                }
                Command::ClusterView(view) => self.publish_view(agent, view),
                Command::QuotaMembers(members) => {
                    let list: Vec<_> = members.into_iter().map(|m| (m.name, m.threads)).collect();
                    self.send_quota_shares(&list);
                }
                Command::LeafClients(clients) => {
                    let list: Vec<_> =
                        clients.into_iter().map(|c| (c.name, c.threads, c.zone)).collect();
                    let peers = quota::peers(&list);
                    self.send_to_engines(|| event::Event::Peers(peers.clone()));
                }
                Command::Admission(serving_state) => {
                    self.closed |= serving_state == engine::ServingState::ShuttingDown;
                    self.send_to_engines(|| event::Event::ServingState(serving_state));
                }
                Command::ServingUntil(until) => {
                    self.send_to_engines(|| event::Event::LeaseValidUntil(until))
                }
                Command::TrialsUntil(until) => {
                    self.send_to_engines(|| event::Event::TrialsUntil(until))
                }
                Command::Ready(ready) => {
                    let _ = self.published.ready.send(ready);
                }
                Command::PollLeafList => self.leaf_list.poll(),
                Command::ProbeLeafs(leafs) if self.probes => self.probe(leafs),
                Command::ProbeLeafs(_) => {}
                Command::Alarm(text) => self.alarm(&text),
            }
        }
    }

    fn publish_view(&mut self, agent: &NodeAgent, view: Arc<ClusterView>) {
        let members = &agent.membership.members;
        self.members.retain(|name, _| members.iter().any(|member| member.name == *name));
        self.send_to_engines(|| event::Event::ClusterView(view.clone()));
        let _ = self.published.view.send(view);
    }

    /// Sends each traffic thread its share of the cluster's limits.
    fn send_quota_shares(&self, list: &[(String, u32)]) {
        for (index, thread) in self.traffic.iter().enumerate() {
            let share = quota::QuotaShare::new(list, &self.name, index as u32);
            let _ = thread.send(TrafficInput::Event(event::Event::QuotaShare(share)));
        }
    }

    /// Logs an alarm at warn level once. Repetitions go to the log buffer, with their count.
    fn alarm(&mut self, text: &str) {
        if self.alarms.len() > consts::MAX_REMEMBERED_ALARMS {
            self.alarms.clear();
        }
        let occurrences = self.alarms.entry(text.to_string()).or_default();
        *occurrences += 1;
        if *occurrences == 1 {
            warn!(me = self.name, "{text}");
        } else {
            debug!(n = occurrences, "{text}");
        }
    }

    fn send_to_member(&mut self, name: String, address: &str, message: &Message) {
        let Ok(address) = address.parse::<SocketAddr>() else { return };
        let known = self.members.get(&name).is_some_and(|(known, _)| *known == address);
        if !known {
            let identity = PeerIdentity::Member(self.name.clone());
            let greeting = Greeting { identity, cluster_hash: self.cluster_hash };
            let tag = ConnectionTag::Member(name.clone());
            let sender = dial(address, greeting, tag, self.events.clone());
            self.members.insert(name.clone(), (address, sender));
        }
        if let Some((_, sender)) = self.members.get(&name) {
            sender.send(message);
        }
    }

    /// Probes leafs concurrently. Each probe is a small request, and its task ends at the
    /// latest with the request's timeout.
    fn probe(&self, leafs: Vec<Arc<LeafInfo>>) {
        for info in leafs {
            let (http, inputs) = (self.http.clone(), self.inputs.clone());
            tokio::task::spawn_local(async move {
                if let Some(report) = crate::leaf_client::probe(&http, &info).await {
                    let service = info.service.clone();
                    let _ = inputs.send(MembershipInput::LeafReport { service, report });
                }
            });
        }
    }
}
