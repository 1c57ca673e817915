//! Rollouts: moving a service's traffic from the leafs of one version to those of another.
//!
//! A leaf's version is the software version in the platform's list. Each service has one version
//! in force; apart from trials, only its leafs get requests. The version in force is derived
//! from replicated state alone: it is the first version that the list contained
//! ([`first_version`], in the service's partition) until a rollout has delivered another one
//! ([`record`], in the configuration's partition). An operator's order ([`order`]) starts a
//! rollout. [`versions`] determines which leafs get requests.

pub mod evidence;
pub mod first_version;
pub mod order;
pub mod record;
pub mod trial;
pub mod verdict;
pub mod versions;
