//! The cluster's configuration: its types, how it is parsed and validated, and how it is stored
//! in its partition with one entry per object.

pub mod build;
pub mod change;
pub mod consistency_error;
pub mod field_error;
mod object_reader;
pub mod read;
mod read_objects;
pub mod route;
pub mod show;
pub mod stored;
pub mod types;
