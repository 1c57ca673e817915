//! Settings from a file (a JSON object) and from flags, flags first. All that
//! is wrong is found at once, before any port is opened.

pub mod command_line;
pub mod reader;

/// Exit code of a process whose settings are wrong.
pub const EXIT_SETTINGS: i32 = 2;
