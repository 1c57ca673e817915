//! What all files on disk have in common.

/// Version of the files on disk; another one is reported, never read.
pub const DISK_VERSION: u16 = 1;
/// Largest record or slot body a disk may claim to hold (bytes).
pub const MAX_RECORD_BYTES: u32 = 64 * 1024 * 1024;
