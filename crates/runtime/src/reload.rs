//! Detects changed settings while a process runs. The settings file is read again on SIGHUP, and
//! polled for changes that come without a SIGHUP. SIGHUP never ends a process.

use std::path::PathBuf;
use std::time::SystemTime;

use grebepath_core::consts::SETTINGS_POLL_INTERVAL;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::Instant;

use crate::clock::duration;

/// Watches the settings file.
pub struct SettingsWatch {
    path: Option<PathBuf>,
    /// `None` if signals are not available; then only polling detects changes.
    hangup: Option<Signal>,
    seen: Option<FileVersion>,
    next_poll: Instant,
}

/// The metadata that distinguishes versions of a file.
#[derive(Clone, Copy, PartialEq)]
struct FileVersion {
    modified: SystemTime,
    /// In bytes.
    length: u64,
}

impl SettingsWatch {
    /// Starts to handle SIGHUP, and records the current version of the file. Without a file, only
    /// SIGHUP triggers a reload.
    pub fn new(path: Option<&str>) -> SettingsWatch {
        let path = path.map(PathBuf::from);
        let seen = path.as_ref().and_then(version);
        let next_poll = Instant::now() + duration(SETTINGS_POLL_INTERVAL);
        SettingsWatch { path, hangup: signal(SignalKind::hangup()).ok(), seen, next_poll }
    }

    /// Waits until the settings should be read again. Cancellation safe.
    pub async fn changed(&mut self) {
        loop {
            let hangup = async {
                match &mut self.hangup {
                    Some(hangup) => hangup.recv().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                _ = hangup => {
                    self.seen = self.path.as_ref().and_then(version);
                    return;
                }
                _ = tokio::time::sleep_until(self.next_poll), if self.path.is_some() => {
                    self.next_poll = Instant::now() + duration(SETTINGS_POLL_INTERVAL);
                    let now = self.path.as_ref().and_then(version);
                    if now.is_some() && now != self.seen {
                        self.seen = now;
                        return;
                    }
                }
            }
        }
    }
}

fn version(path: &PathBuf) -> Option<FileVersion> {
    let data = std::fs::metadata(path).ok()?;
    Some(FileVersion { modified: data.modified().ok()?, length: data.len() })
}
