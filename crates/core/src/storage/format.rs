//! Properties that all files on disk share.

/// Format version of the files on disk. Files with another version are reported and not read.
pub const DISK_VERSION: u16 = 1;
/// Maximum length of a record or slot body (bytes); a longer one is treated as corrupted.
pub const MAX_RECORD_BYTES: u32 = 64 * 1024 * 1024;
