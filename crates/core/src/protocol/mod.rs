//! What our processes say to each other: the messages, the types that they carry, and
//! how they are framed on a connection.
//!
//! The order of fields and variants of every type here that can be serialized is part of
//! the protocol, and of the files on disk where a type is stored.

pub mod frame;
pub mod membership;
pub mod message;
pub mod message_shapes;
pub mod operation;
pub mod peer;
pub mod replica;
pub mod shape;
