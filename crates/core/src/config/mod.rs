//! The operators' configuration: its types, how it is read and checked, and
//! how it lies in the configuration part as one entry an object.

pub mod build;
pub mod change;
pub mod read;
pub mod show;
pub mod types;
