//! Log replication by the leader of a partition: it sends its changes to the other voters and
//! tracks which revisions they have synced.

use crate::command::Command;
use crate::config::stored::Entry;
use crate::identifiers::{Term, VoterSlot};
use crate::protocol::message::Message;
use crate::replication::leader::{AckedRound, HeartbeatRound, Leader};
use crate::replication::partition::{AfterWrite, Partition, Role, Sender};
use crate::replication::timing::ANSWER_TIMEOUT;
use crate::storage::record::LogRecord;
use crate::time::{Span, Tick, ms, since};
use crate::voter_set::{VoterGroup, other_voters};

/// Time after which the leader begins another heartbeat round if operations still wait for one,
/// because a message of the round may have been lost. The regular heartbeat interval is four
/// times as long.
const CONFIRMATION_RETRY: Span = ms(50);

/// The contents of a voter's heartbeat acknowledgement.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatAck {
    /// The term of the heartbeat.
    pub term: Term,
    /// The round that it acknowledges.
    pub round: u64,
    /// The voter's newest revision in memory; zero if it has none of this term.
    pub revision: u64,
    /// The newest revision that the voter has synced; zero if it has none of this term.
    pub synced: u64,
}

impl Partition {
    /// Sends the heartbeats and snapshots that are due, or steps down if no majority acknowledges
    /// heartbeats.
    pub fn wake_leader(&mut self, now: Tick, group: VoterGroup, commands: &mut Vec<Command>) {
        let id = self.id;
        let Some(leader) = self.leader_mut() else { return };
        if !leader.has_majority_contact(group, now) {
            let text =
                format!("partition {id}: no majority answers heartbeats; the leader steps down");
            commands.push(Command::Alarm(text));
            return self.step_down(now, None, commands);
        }
        let is_retry_due = leader.needs_confirmation(group)
            && since(leader.round_began_at, now) >= CONFIRMATION_RETRY;
        let is_round_due = now >= leader.next_heartbeat_at || is_retry_due;
        let needing_snapshot: Vec<VoterSlot> =
            other_voters(group).filter(|slot| leader.needs_snapshot(now, *slot)).collect();
        if is_round_due {
            self.begin_round(now, group, commands);
        }
        for slot in needing_snapshot {
            self.send_snapshot(now, slot, commands);
        }
    }

    /// Sends a snapshot to a voter.
    fn send_snapshot(&mut self, now: Tick, to: VoterSlot, commands: &mut Vec<Command>) {
        let (partition, term, revision) = (self.id, self.state.written_term, self.state.revision);
        let entries = self.state.entries.clone();
        let Some(leader) = self.leader_mut() else { return };
        leader.snapshot_sent_at[usize::from(to)] = Some(now);
        let message = Message::Snapshot { partition, term, revision, entries };
        commands.push(Command::ToVoter { slot: to, message });
    }

    /// Handles a snapshot request of a follower that can't apply the leader's changes.
    pub fn on_snapshot_request(
        &mut self,
        now: Tick,
        from: VoterSlot,
        term: Term,
        commands: &mut Vec<Command>,
    ) {
        let Some(leader) = self.leader_mut() else { return };
        if leader.term == term && leader.may_send_snapshot(now, from) {
            leader.synced[usize::from(from)] = None;
            self.send_snapshot(now, from, commands);
        }
    }

    /// Handles a heartbeat acknowledgement.
    pub fn on_heartbeat_ack(
        &mut self,
        now: Tick,
        from: Sender,
        ack: HeartbeatAck,
        commands: &mut Vec<Command>,
    ) {
        let Role::Leader(leader) = &mut self.role else { return };
        if leader.term != ack.term || ack.round > leader.round || ack.round <= leader.valid_after {
            return;
        }
        let sent = leader.record_ack(from.slot, ack.round);
        // Changes sent before this heartbeat have not arrived, so they were lost.
        if ack.revision < sent.revision && leader.synced[usize::from(from.slot)].is_some() {
            self.resend_changes(now, from.slot, ack, commands);
        }
        if ack.synced > 0 {
            return self.on_append_ack(now, from, ack.term, ack.synced, commands);
        }
        self.complete_operations(now, from.group, commands);
    }

    /// Resends the changes after a voter's revision, or sends a snapshot if these changes are no
    /// longer kept.
    fn resend_changes(
        &mut self,
        now: Tick,
        to: VoterSlot,
        ack: HeartbeatAck,
        commands: &mut Vec<Command>,
    ) {
        let (partition, term) = (self.id, ack.term);
        let mut missing =
            self.changes.iter().filter(|(revision, _)| *revision > ack.revision).peekable();
        if missing.peek().is_none_or(|(revision, _)| *revision != ack.revision + 1) {
            return self.on_snapshot_request(now, to, term, commands);
        }
        for (revision, entries) in missing {
            let (revision, entries) = (*revision, entries.clone());
            let message = Message::Append { partition, term, revision, entries };
            commands.push(Command::ToVoter { slot: to, message });
        }
    }

    /// Handles the acknowledgement that a voter, or the leader itself, has synced a revision, and
    /// advances the commit revision.
    pub fn on_append_ack(
        &mut self,
        now: Tick,
        from: Sender,
        term: Term,
        revision: u64,
        commands: &mut Vec<Command>,
    ) {
        let newest = self.state.revision;
        let Some(leader) = self.leader_mut() else { return };
        if leader.term != term || revision > newest {
            return;
        }
        let synced = &mut leader.synced[usize::from(from.slot)];
        *synced = Some(synced.map_or(revision, |known| known.max(revision)));
        if let Some(committed) = leader.majority_revision(from.group) {
            let is_first = !leader.is_serving;
            leader.is_serving = true;
            if is_first || committed > leader.committed {
                leader.committed = committed;
                self.commit_up_to(committed);
            }
        }
        self.complete_operations(now, from.group, commands);
    }

    /// Appends a change and replicates it. The caller has checked that this replica is the leader
    /// and serves operations.
    pub fn propose(
        &mut self,
        now: Tick,
        group: VoterGroup,
        entries: Vec<Entry>,
        commands: &mut Vec<Command>,
    ) {
        let (partition, term) = (self.id, self.state.written_term);
        let revision = self.state.revision + 1;
        let record = LogRecord::Change { term, revision, entries: entries.clone() };
        if !self.state.apply(&record) {
            return;
        }
        self.changes.push_back((revision, entries.clone()));
        for slot in other_voters(group) {
            let entries = entries.clone();
            let message = Message::Append { partition, term, revision, entries };
            commands.push(Command::ToVoter { slot, message });
        }
        let after = vec![AfterWrite::OwnAppendSynced { term, revision }];
        self.persist_record(now, record, after, commands);
    }
}

impl Leader {
    /// Returns whether a voter has synced nothing of this term, and no snapshot is in flight to
    /// it.
    fn needs_snapshot(&self, now: Tick, slot: VoterSlot) -> bool {
        self.synced[usize::from(slot)].is_none() && self.may_send_snapshot(now, slot)
    }

    fn may_send_snapshot(&self, now: Tick, slot: VoterSlot) -> bool {
        let sent_at = self.snapshot_sent_at[usize::from(slot)];
        sent_at.is_none_or(|at| since(at, now) > ANSWER_TIMEOUT)
    }

    /// Records that a voter acknowledged a round, and returns that round.
    fn record_ack(&mut self, slot: VoterSlot, number: u64) -> HeartbeatRound {
        let forgotten = HeartbeatRound { number, began_at: self.leading_since, revision: 0 };
        let round = self.find_round(number).unwrap_or(forgotten);
        let last = &mut self.acked[usize::from(slot)];
        if number > last.number {
            *last = AckedRound { number, began_at: round.began_at.max(last.began_at) };
        }
        round
    }
}
