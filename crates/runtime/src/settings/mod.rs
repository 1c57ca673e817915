//! Settings from flags, a file (a JSON object) and the environment, in this order of precedence.
//! All errors are reported together, before any port is opened.

pub mod command_line;
pub mod reader;

/// Exit code of a process with invalid settings.
pub const EXIT_SETTINGS: i32 = 2;
