//! The control plane: configuration, endpoints, members and operator requests on top of the
//! replicated partitions, all as a single `step` function without I/O.
//!
//! Lower modules never import higher ones. At the bottom are plain state types, with
//! functions that take only the state they need: [`request_dedup`], [`commit_times`],
//! [`counters`], [`membership_log`], [`members`] and the operations on [`members::Members`]
//! (`membership_replication`, `membership_issue`, `retirement`, [`acceptance`],
//! [`forgotten_members`]), [`endpoints`], [`feed`], [`rollout_clock`], `rollout_orders`,
//! [`operations`], [`pending_requests`], [`rejection`]. Above them, [`controller`] has the
//! complete state of a controller. The modules above it implement one concern each that needs
//! several fields of this state; [`step`] routes the events.

pub mod acceptance;
pub mod commit_times;
pub mod controller;
pub mod counters;
mod disk_events;
pub mod endpoints;
pub mod feed;
pub mod forgotten_members;
mod from_connections;
mod from_controllers;
mod from_voters;
mod handover;
pub mod leadership_transfer;
mod leases;
mod list_pollers;
pub mod members;
mod membership_issue;
pub mod membership_log;
mod membership_replication;
mod membership_updates;
mod operation_forwarding;
pub mod operations;
pub mod pending_requests;
pub mod rejection;
pub mod request_dedup;
mod retirement;
pub mod rollout_clock;
mod rollout_orders;
mod rollout_progress;
pub mod rollout_votes;
mod slot_takeover;
pub mod step;
mod subscriptions;
mod voter_slots;
