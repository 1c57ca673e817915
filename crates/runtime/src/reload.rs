//! Params that change under a running process: the file is read again when a
//! SIGHUP says so, and looked at from time to time, since it may change without
//! one. A SIGHUP never ends a process.

use std::path::PathBuf;
use std::time::SystemTime;

use grebepath_core::consts::PARAMS_LOOK;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::Instant;

use crate::clock::duration;

/// Watches one file.
pub struct Watch {
    path: Option<PathBuf>,
    hang: Option<Signal>,
    seen: Option<(SystemTime, u64)>,
    look: Instant,
}

/// Takes SIGHUP from here on, and notes how the file is now.
pub fn watch(path: Option<&str>) -> Watch {
    let path = path.map(PathBuf::from);
    let seen = path.as_ref().and_then(mark);
    let look = Instant::now() + duration(PARAMS_LOOK);
    Watch { path, hang: signal(SignalKind::hangup()).ok(), seen, look }
}

fn mark(path: &PathBuf) -> Option<(SystemTime, u64)> {
    let data = std::fs::metadata(path).ok()?;
    Some((data.modified().ok()?, data.len()))
}

/// Waits until the params should be read again. Safe to drop and call anew.
pub async fn changed(w: &mut Watch) {
    loop {
        let hung = async {
            match &mut w.hang {
                Some(hang) => hang.recv().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            _ = hung => {
                w.seen = w.path.as_ref().and_then(mark);
                return;
            }
            _ = tokio::time::sleep_until(w.look), if w.path.is_some() => {
                w.look = Instant::now() + duration(PARAMS_LOOK);
                let now = w.path.as_ref().and_then(mark);
                if now.is_some() && now != w.seen {
                    w.seen = now;
                    return;
                }
            }
        }
    }
}
