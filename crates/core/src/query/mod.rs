//! The query engine of a querier: plans queries, sends attempts to leafs, checks the coverage
//! of their replies, merges results and responds. It is a state machine without I/O.

pub mod admission;
pub mod attempt;
mod cancellation;
mod cluster_update;
pub mod connection_subset;
pub mod coverage;
pub mod engine;
pub mod event;
mod finishing;
mod forwarded_reply;
pub mod forwarded_request;
mod forwarding;
pub mod latency_estimate;
pub mod leaf;
mod leaf_feedback;
pub mod leaf_selection;
pub mod merge;
pub mod observed_load;
pub mod planned_query;
pub mod planning;
pub mod progress;
pub mod quota;
mod rejection;
mod replies;
pub mod request;
pub mod retry_after;
pub mod retry_budget;
mod sending;
pub mod service_retry_budget;
pub mod slow_start;
pub mod statistics;
pub mod step;
pub mod trials;
