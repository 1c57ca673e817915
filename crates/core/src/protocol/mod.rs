//! What our processes say to each other, and how it is cut into pieces.

pub mod frame;
pub mod membership;
pub mod message;
