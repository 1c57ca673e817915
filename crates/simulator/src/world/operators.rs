//! Operators: their requests, the results, and the checks at the end of a run.

use std::collections::BTreeSet;

use grebepath_core::config::types::Config;
use grebepath_core::control_plane::controller::Event as CoreEvent;
use grebepath_core::protocol::operation::OperationResult;
use grebepath_core::time::{SECOND, Span, ms};
use serde_json::json;

use super::events::ScheduledEvent;
use super::operator_request::{OperatorRequest, ZoneChange};
use super::{BEGIN, THREADS, World};

impl World {
    /// Schedules an operator's request and returns its number.
    pub fn submit(&mut self, after: Span, request: OperatorRequest) -> usize {
        self.operator_requests.push(request);
        let id = self.operator_requests.len() - 1;
        self.push(after, ScheduledEvent::OperatorRequest { request: id });
        id
    }

    /// Submits replacements and patches at the same time, to any voter.
    /// The sender of a replacement has read the configuration and gives its revision, so
    /// no change that is accepted in between may be lost.
    pub fn submit_racing_requests(&mut self, count: u64) {
        let is_running_voter = |controller: &usize| {
            self.controllers[*controller].up && self.controllers[*controller].has_voter_slot()
        };
        let voters: Vec<usize> = (0..self.controllers.len()).filter(is_running_voter).collect();
        for i in 0..count {
            let n = self.operator_requests.len();
            let mut request = OperatorRequest::marked(n);
            if i % 2 == 0 {
                let Some(controller) = voters.get(self.random.below(voters.len() as u64) as usize)
                else {
                    return;
                };
                let partition = &self.controllers[*controller].state.partitions[0];
                let Ok(config) = Config::from_entries(&partition.committed) else { return };
                let mut val = config.to_json();
                if let Some(zones) = val["zones"].as_array_mut() {
                    zones.push(json!({ "name": format!("mark-{n}"), "state": "open" }));
                }
                (request.operation, request.expect) =
                    (OperatorRequest::replace(&val).operation, Some(partition.committed_revision));
            }
            self.submit(0, request);
        }
    }

    pub(super) fn send_operator_request(&mut self, id: usize) {
        let up: Vec<usize> = (0..self.controllers.len())
            .filter(|controller| self.controllers[*controller].up)
            .collect();
        if up.is_empty() {
            // No controller runs; the operator retries, as grebectl does.
            return self.push(ms(500), ScheduledEvent::OperatorRequest { request: id });
        }
        let controller = self.operator_requests[id]
            .controller
            .filter(|controller| up.contains(controller))
            .unwrap_or_else(|| up[self.random.below(up.len() as u64) as usize]);
        if self.operator_requests[id].at == 0 {
            self.operator_requests[id].at = self.now;
        }
        // The opening of a zone may take effect before it is acknowledged.
        if let Some(ZoneChange { zone, drained: false }) = &self.operator_requests[id].zone {
            self.rules.drained.remove(zone);
        }
        self.rules
            .note(self.now - BEGIN, || format!("request {id} sent to controller {controller}"));
        let incarnation = self.controllers[controller].incarnation;
        let event = CoreEvent::Operate {
            op: id as u64,
            request: self.operator_requests[id]
                .request
                .clone()
                .unwrap_or_else(|| format!("order-{id}")),
            expected_revision: self.operator_requests[id].expect,
            operation: self.operator_requests[id].operation.clone(),
        };
        let travel = ms(1) + self.operator_requests[id].held_for;
        self.push(travel, ScheduledEvent::ControllerEvent { controller, incarnation, event });
    }

    pub(super) fn acknowledge(&mut self, id: usize, result: OperationResult) {
        if id >= self.operator_requests.len() {
            // A request that a controller without a voter slot had forwarded, and whose
            // connection is closed: as in the daemon, nobody waits for the result.
            return;
        }
        let now = self.now - BEGIN;
        self.rules.note(now, || {
            let text = match &result {
                OperationResult::Accepted { revision, replicas, .. } => {
                    format!("accepted as {revision}, {replicas} replicas")
                }
                OperationResult::Rejected { why } => format!("rejected: {why}"),
                OperationResult::Unknown { why } => format!("unknown: {why}"),
                _ => "told".into(),
            };
            format!("request {id} {text}")
        });
        if let OperationResult::Accepted { revision, .. } = &result {
            self.rules.accepted.push((now, *revision));
            for restart in
                self.rules.pending_restarts.iter_mut().filter(|check| check.request == Some(id))
            {
                restart.accepted = Some(now);
            }
            let requested_at = self.operator_requests[id].at - BEGIN;
            let zone = self.operator_requests[id].zone.clone().filter(|change| {
                let last = self.rules.zone_revisions.entry(change.zone.clone()).or_insert(0);
                let newer = *revision > *last;
                *last = (*last).max(*revision);
                newer
            });
            match zone {
                Some(ZoneChange { zone, drained: true }) => {
                    let from = (requested_at + 5 * SECOND).max(now + 3 * SECOND);
                    self.rules.drained.insert(zone, from);
                }
                Some(ZoneChange { zone, drained: false }) => {
                    self.rules.drained.remove(&zone);
                }
                None => {}
            }
        }
        self.acknowledged_at.insert(id, self.now);
        self.operator_requests[id].result = Some(result);
        if let Some(request) = self.operator_requests[id].without_id {
            self.respond_to_zone_operator(request, id);
        }
        if let Some(operator) = self.operator_requests[id].rollout {
            self.respond_to_rollout_operator(operator, id);
        }
    }

    /// Returns the newest configuration that a voter has committed.
    pub fn committed(&self) -> Config {
        let best = self
            .running_voters()
            .max_by_key(|controller| controller.state.partitions[0].committed_revision);
        best.and_then(|controller| {
            Config::from_entries(&controller.state.partitions[0].committed).ok()
        })
        .unwrap_or_default()
    }

    /// Ends a run with the checks that are possible only at the end.
    pub fn finish(&mut self) {
        let now = self.now - BEGIN;
        let config = self.committed();
        let last_revision = self
            .running_voters()
            .map(|controller| controller.state.partitions[0].committed_revision)
            .max()
            .unwrap_or(0);
        for id in 0..self.operator_requests.len() {
            let (Some(result), marker) =
                (&self.operator_requests[id].result, &self.operator_requests[id].marker)
            else {
                continue;
            };
            match result {
                OperationResult::Accepted { revision, .. } => {
                    if *revision > last_revision {
                        let text = format!(
                            "request {id} was accepted as revision {revision}, the last one is {last_revision}"
                        );
                        self.rules.violated(now, 12, text);
                    } else if let Some(marker) = marker
                        && !config.zones.contains_key(marker)
                    {
                        let text =
                            format!("request {id} was accepted as revision {revision} and is lost");
                        self.rules.violated(now, 12, text);
                    }
                }
                OperationResult::Rejected { .. } => {
                    if let Some(marker) = marker
                        && config.zones.contains_key(marker)
                    {
                        let text =
                            format!("request {id} was reported as not applied, but it is applied");
                        self.rules.violated(now, 12, text);
                    }
                }
                _ => {}
            }
        }
        let threads = self.queriers.len() * THREADS as usize;
        self.rules.finish(now, threads);
    }

    /// Returns the zones that the committed configuration drains.
    pub fn drained(&self) -> BTreeSet<String> {
        self.committed().zones.values().filter(|z| z.drained).map(|z| z.name.clone()).collect()
    }
}
