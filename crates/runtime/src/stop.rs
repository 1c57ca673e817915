//! The wish to stop, from outside.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
pub async fn asked() {
    let (term, int) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()));
    let (Ok(mut term), Ok(mut int)) = (term, int) else {
        // Without signals there is no way to ask; go on for ever.
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
