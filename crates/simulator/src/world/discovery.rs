//! Leaf discovery of queriers: the platform's list and probes of single leafs.

use grebepath_core::consts;
use grebepath_core::http_api::list;
use grebepath_core::membership::node_agent;
use grebepath_core::protocol::message::LeafReport;
use grebepath_core::snapshot::leafs::LeafInfo;
use grebepath_core::time::{MILLI, ms};

use super::World;
use super::events::ScheduledEvent;
use super::faulty_variant::FaultyVariant;
use crate::mock_backends;
use crate::mock_backends::ProcessState;
use crate::net::{Endpoint, Node};

/// The endpoint that serves the platform's list.
const LIST: Endpoint = Endpoint { node: Node::List, zone: "a" };

impl World {
    /// Requests the platform's list, unless a request is already in flight.
    pub(super) fn poll_list(&mut self, querier: usize) {
        if self.queriers[querier].polling {
            return;
        }
        self.queriers[querier].polling = true;
        let incarnation = self.queriers[querier].incarnation;
        let from = self.queriers[querier].endpoint(querier);
        match self.net.send(self.now, from, LIST, &mut self.random) {
            Some(at) => self.push_at(at, ScheduledEvent::ListRequest { querier, incarnation }),
            None => self.list_timed_out(querier, incarnation),
        }
    }

    pub(super) fn list_timed_out(&mut self, querier: usize, incarnation: u64) {
        let event = node_agent::Event::LeafList(Err("no answer in time".into()));
        self.push(
            consts::LEAF_LIST_POLL_TIMEOUT,
            ScheduledEvent::NodeAgentEvent { querier, incarnation, event },
        );
    }

    pub(super) fn answer_list_request(&mut self, querier: usize, incarnation: u64) {
        let now = self.now;
        let Some(text) = self.backends.served_list(now) else {
            return self.list_timed_out(querier, incarnation);
        };
        let got = match list::read(text.as_bytes()) {
            Ok((list, _)) => {
                for leaf in list.iter().filter(|leaf| leaf.leaving) {
                    self.record_leaving_received(&leaf.leaf.clone());
                }
                Ok(list)
            }
            Err(f) => Err(f.to_string()),
        };
        let receiver = self.queriers[querier].endpoint(querier);
        match self.net.send(now, LIST, receiver, &mut self.random) {
            Some(at) => self.push_at(
                at,
                ScheduledEvent::NodeAgentEvent {
                    querier,
                    incarnation,
                    event: node_agent::Event::LeafList(got),
                },
            ),
            None => self.list_timed_out(querier, incarnation),
        }
    }

    /// Records that a process of the cluster has received a leaf's leaving state.
    pub(super) fn record_leaving_received(&mut self, leaf: &str) {
        let now = self.now;
        if let Some(leaf) = self.backends.leafs.get_mut(leaf)
            && leaf.known_leaving.is_none()
        {
            leaf.known_leaving = Some(now + ms(2));
        }
    }

    pub(super) fn answer_probe(&mut self, querier: usize, incarnation: u64, info: &LeafInfo) {
        if !self.querier_runs(querier, incarnation) {
            return;
        }
        let Some(leaf) =
            self.backends.by_address.get(&info.addr).and_then(|node| self.backends.leafs.get(node))
        else {
            return;
        };
        if leaf.process_state != ProcessState::Up || leaf.mode == mock_backends::Mode::Dark {
            return;
        }
        let mut report = LeafReport { leaf: info.leaf.clone(), ..LeafReport::default() };
        if leaf.name == info.leaf {
            report.leaving = leaf.signals_leaving()
                && self.faulty_variant != Some(FaultyVariant::IgnoresLeavingLeafs);
            if self.backends.reports_age {
                report.age_ms = grebepath_core::time::since(leaf.started_at, self.now) / MILLI;
            }
            if leaf.signals_leaving() {
                self.record_leaving_received(&info.leaf.clone());
            }
        } else {
            report.gone = true;
        }
        let event = node_agent::Event::LeafReport { service: info.service.clone(), report };
        self.push(ms(1), ScheduledEvent::NodeAgentEvent { querier, incarnation, event });
    }
}
