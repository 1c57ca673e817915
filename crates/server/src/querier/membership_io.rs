//! What the membership thread holds beside the node agent: turns messages into events,
//! and commands into I/O.

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

/// Wakes between two arrangements of the connections to controllers: a second.
const ARRANGE_WAKES: u32 = 20;
/// Unused connections that are kept to the list and to each leaf that is probed.
const IDLE_CONNECTIONS: usize = 2;

/// Which connection a message came on.
#[derive(Clone)]
pub enum Tag {
    /// The one that we keep to a controller's address.
    Controller(SocketAddr),
    /// The one that we keep to a member, by its name.
    Member(String),
}

/// Takes what the membership thread publishes. Each channel holds the newest value
/// alone; it never fills up.
pub struct Published {
    /// Whether this node is ready.
    pub ready: watch::Sender<bool>,
    /// The configuration and the leafs.
    pub view: watch::Sender<Arc<ClusterView>>,
}

/// Connections, the traffic threads, and whoever follows what this node knows.
pub struct MembershipIo {
    name: String,
    cluster_hash: u64,
    controllers: Connections<Tag>,
    /// Wakes so far.
    wakes: u32,
    /// Connections to other members, by name.
    members: HashMap<String, (SocketAddr, MessageSender)>,
    events: UnboundedSender<ConnectionEvent<Tag>>,
    traffic: Vec<UnboundedSender<TrafficInput>>,
    published: Published,
    /// Takes what polls and probes bring.
    inputs: UnboundedSender<MembershipInput>,
    http: HttpClient,
    /// Polls the platform's list.
    pub leaf_list: LeafListPoller,
    probes: bool,
    /// Alarms so far: each text is logged once, then only counted.
    alarms: HashMap<String, u64>,
    /// Whether the traffic threads were told to take no more calls.
    pub closed: bool,
}

impl MembershipIo {
    /// Begins without connections.
    pub fn new(
        settings: &Settings,
        traffic: Vec<UnboundedSender<TrafficInput>>,
        published: Published,
        inputs: UnboundedSender<MembershipInput>,
        events: UnboundedSender<ConnectionEvent<Tag>>,
    ) -> MembershipIo {
        let identity = PeerIdentity::Member(settings.name.clone());
        let greeting = Greeting { identity, cluster_hash: settings.cluster_hash };
        let http = HttpClient::new(IDLE_CONNECTIONS);
        let list = LeafList {
            address: settings.list,
            platform_api: settings.platform_api,
            http: http.clone(),
        };
        let tag = Tag::Controller;
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

    /// Opens and drops connections to controllers as the voter set asks.
    pub fn arrange(&mut self, agent: &NodeAgent) {
        let identity = PeerIdentity::Member(self.name.clone());
        self.controllers.arrange(identity, &agent.voter_set);
    }

    /// Arranges the connections to controllers now and then.
    pub fn note_wake(&mut self, agent: &NodeAgent) {
        self.wakes += 1;
        if self.wakes.is_multiple_of(ARRANGE_WAKES) {
            self.arrange(agent);
        }
    }

    /// Takes up what of the settings may change under a running process. Wrong ones
    /// change nothing.
    pub fn reload_settings(&mut self) {
        match Settings::read_again() {
            Ok(settings) => {
                self.controllers.set_seeds(&settings.seeds);
                self.tell_engines(|| event::Event::RetryRate(settings.retry_rate));
                self.tell_engines(|| event::Event::ExposureLimit(settings.exposure_limit));
            }
            Err(diagnostics) => {
                for diagnostic in diagnostics {
                    warn!(me = self.name, "changed params are not taken up: {diagnostic}");
                }
            }
        }
    }

    /// Sends an input to all traffic threads. One that has ended needs none.
    pub fn tell_traffic(&self, input: impl Fn() -> TrafficInput) {
        for thread in &self.traffic {
            let _ = thread.send(input());
        }
    }

    fn tell_engines(&self, event: impl Fn() -> event::Event) {
        self.tell_traffic(|| TrafficInput::Event(event()));
    }

    /// What a connection's event means for the node agent, if anything.
    pub fn take(&mut self, agent: &NodeAgent, event: ConnectionEvent<Tag>) -> Option<Event> {
        match event {
            ConnectionEvent::Received { tag: Tag::Controller(address), message } => {
                let holder = self.controllers.note_message(address, &message);
                match message {
                    Message::VoterSetUpdate { voter_set: table, .. } => {
                        Some(Event::VoterSet(table))
                    }
                    // Who has no voter slot has no say.
                    message => slot_of(&agent.voter_set, holder)
                        .map(|slot| Event::FromVoter { slot, message }),
                }
            }
            ConnectionEvent::Received { tag: Tag::Member(name), message }
            | ConnectionEvent::ReceivedFromAccepted {
                identity: PeerIdentity::Member(name),
                message,
                ..
            } => Some(Event::FromMember { name, message }),
            ConnectionEvent::Accepted { connection, identity: who, .. } => {
                debug!(connection, ?who, "wire opened");
                None
            }
            ConnectionEvent::ReceivedFromAccepted { .. } | ConnectionEvent::Closed { .. } => None,
            ConnectionEvent::Failed { error } => {
                self.alarm(&error.to_string());
                None
            }
        }
    }

    /// Carries out what the node agent asks.
    pub fn carry_out(&mut self, agent: &NodeAgent, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::ToVoter { slot, message } => {
                    self.controllers.send_to_voter(&agent.voter_set, slot, &message);
                }
                Command::Broadcast { message } => self.controllers.broadcast(&message),
                Command::VoterSetChanged => self.arrange(agent),
                Command::ToMember { name, addr, message } => {
                    self.send_to_member(name, &addr, &message);
                }
                Command::ClusterView(view) => self.publish_view(agent, view),
                Command::QuotaMembers(members) => {
                    let list: Vec<_> = members.into_iter().map(|m| (m.name, m.threads)).collect();
                    self.tell_shares(&list);
                }
                Command::LeafClients(clients) => {
                    let list: Vec<_> =
                        clients.into_iter().map(|c| (c.name, c.threads, c.zone)).collect();
                    let peers = quota::peers(&list);
                    self.tell_engines(|| event::Event::Peers(peers.clone()));
                }
                Command::Admission(door) => {
                    self.closed |= door == engine::ServingState::ShuttingDown;
                    self.tell_engines(|| event::Event::ServingState(door));
                }
                Command::ServingUntil(until) => {
                    self.tell_engines(|| event::Event::LeaseValidUntil(until))
                }
                Command::TrialsUntil(until) => {
                    self.tell_engines(|| event::Event::TrialsUntil(until))
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
        self.tell_engines(|| event::Event::ClusterView(view.clone()));
        let _ = self.published.view.send(view);
    }

    /// Tells each traffic thread its part of the fleet's limits.
    fn tell_shares(&self, list: &[(String, u32)]) {
        for (index, thread) in self.traffic.iter().enumerate() {
            let share = quota::QuotaShare::new(list, &self.name, index as u32);
            let _ = thread.send(TrafficInput::Event(event::Event::QuotaShare(share)));
        }
    }

    /// Logs an alarm once; the same again goes to the log buffer, with its count.
    fn alarm(&mut self, text: &str) {
        if self.alarms.len() > consts::MAX_REMEMBERED_ALARMS {
            self.alarms.clear();
        }
        let n = self.alarms.entry(text.to_string()).or_default();
        *n += 1;
        if *n == 1 {
            warn!(me = self.name, "{text}");
        } else {
            debug!(n, "{text}");
        }
    }

    fn send_to_member(&mut self, name: String, address: &str, message: &Message) {
        let Ok(address) = address.parse::<SocketAddr>() else { return };
        let known = self.members.get(&name).is_some_and(|(known, _)| *known == address);
        if !known {
            let identity = PeerIdentity::Member(self.name.clone());
            let greeting = Greeting { identity, cluster_hash: self.cluster_hash };
            let tag = Tag::Member(name.clone());
            let sender = dial(address, greeting, tag, self.events.clone());
            self.members.insert(name.clone(), (address, sender));
        }
        if let Some((_, sender)) = self.members.get(&name) {
            sender.send(message);
        }
    }

    /// Probes leafs, all at once: each is a small request, and its task ends with its
    /// time-out.
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
