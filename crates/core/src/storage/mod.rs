//! The format of files on disk: two snapshot slots that are written alternately, and a short log.
//!
//! The directory of a partition holds `slot-0`, `slot-1` and `log`. A slot is a snapshot of the
//! state with a sequence number; the log holds the changes after the slot with the same number.
//! Everything has a checksum and a length. This module does no I/O: it encodes and decodes states
//! and records.

pub mod damage;
pub mod format;
pub mod reader;
pub mod record;
pub mod voter_file;
pub mod writer;
