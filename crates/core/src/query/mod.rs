//! The querier's owner of queries: plan, dispatch, coverage check, merge,
//! outcome, as explicit states and without I/O.

pub mod connection_subset;
pub mod coverage;
pub mod dispatch;
pub mod engine;
pub mod forwarded_request;
pub mod forwarding;
pub mod latency_estimate;
pub mod leaf;
pub mod leaf_selection;
pub mod merge;
pub mod observed_load;
pub mod quota;
pub mod request;
pub mod retry;
pub mod retry_budget;
pub mod service_retry_budget;
pub mod slow_start;
