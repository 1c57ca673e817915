//! Rollouts: moving a service's traffic from the leafs of one version to those of another.
//!
//! A leaf's version is what the platform's list says of its software. For each service one
//! version is in force, and only its leafs get requests. Which one that is comes from agreed
//! state alone: the version that the list named first ([`first_version`], in the service's
//! partition), until a rollout has delivered another ([`record`], in the configuration's
//! partition). An order to move a service ([`order`]) starts a rollout; [`versions`] tells for
//! each leaf whether it gets requests.

pub mod evidence;
pub mod first_version;
pub mod order;
pub mod record;
pub mod trial;
pub mod verdict;
pub mod versions;
