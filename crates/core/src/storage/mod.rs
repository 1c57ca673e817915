//! The form of files on disk: two slots written in turn, a short log between.
//!
//! A partition's folder holds `slot-0`, `slot-1` and `log`. A slot is a whole state
//! with a sequence number; the log holds what came after the slot of the same
//! number. All of it is checksummed and length-checked, and this module does
//! no I/O: it turns states and records into bytes and back.

pub mod damage;
pub mod format;
pub mod reader;
pub mod record;
pub mod voter_file;
pub mod writer;
