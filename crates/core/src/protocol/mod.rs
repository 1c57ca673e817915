//! The protocol between the processes of a cluster: messages, the types in them, and their
//! framing on a connection.
//!
//! The order of the fields and variants of every serializable type here is part of the protocol,
//! and also of the disk format if the type is stored.

pub mod frame;
pub mod membership;
pub mod message;
pub mod message_shapes;
pub mod operation;
pub mod peer;
pub mod replica;
pub mod shape;
