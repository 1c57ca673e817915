//! The operators' configuration: its types, how it is read and checked, and
//! how it lies in its partition as one entry an object.

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
