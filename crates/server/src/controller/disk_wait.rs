//! Startup on a full disk: the controller listens, responds with the reason why it is unavailable,
//! and continues the startup by itself once its files can be written.

use std::net::TcpListener;
use std::time::Duration;

use axum::Router;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use grebepath_core::consts;
use grebepath_runtime::http::server;
use grebepath_runtime::reload::SettingsWatch;
use serde_json::json;
use tokio::sync::watch;
use tracing::{info, warn};

use crate::error::ControllerError;
use crate::settings::Settings;
use crate::startup::{self, OpenDisk};

/// Interval between two attempts to write.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Retry delay in responses to callers (s). It matches the platform's readiness check each second.
const RETRY_AFTER_S: u64 = 1;

/// Opens the disk. While the disk is full, responds to operators with the error and retries.
/// Returns `None` if the process is asked to stop in the meantime.
pub fn open_disk(
    settings: &Settings,
    operators: &TcpListener,
) -> Result<Option<OpenDisk>, ControllerError> {
    match startup::open(settings) {
        Err(error) if error.is_out_of_space() => {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            runtime.block_on(wait_for_space(settings, operators, error))
        }
        opened => opened.map(Some),
    }
}

async fn wait_for_space(
    settings: &Settings,
    operators: &TcpListener,
    initial_error: ControllerError,
) -> Result<Option<OpenDisk>, ControllerError> {
    warn!("the disk can't be written, retrying: {initial_error}");
    crate::announce(&format!("controller waits for its disk: {initial_error}"));
    let (reason, current_reason) = watch::channel(initial_error.to_string());
    let listener = operators.try_clone()?;
    let serving =
        server::serve(listener, consts::MAX_OPERATOR_CONNECTIONS, router(current_reason), never());
    let serving = tokio::spawn(serving);
    // Handles SIGHUP, whose default action would end the process.
    let mut settings_watch = SettingsWatch::new(None);
    let stop = grebepath_runtime::stop::requested();
    tokio::pin!(stop);
    let opened = loop {
        tokio::select! {
            _ = &mut stop => break Ok(None),
            _ = settings_watch.changed() => continue,
            () = tokio::time::sleep(RETRY_INTERVAL) => {}
        }
        match startup::open(settings) {
            Err(error) if error.is_out_of_space() => {
                reason.send_replace(error.to_string());
            }
            opened => break opened.map(Some),
        }
    };
    serving.abort();
    if opened.is_ok() {
        info!("the disk can be written again");
    }
    opened
}

async fn never() {
    std::future::pending().await
}

/// Builds a router whose liveness check succeeds, and whose other paths all return the reason why
/// the controller is unavailable.
fn router(reason: watch::Receiver<String>) -> Router {
    let respond = async move || unavailable_response(&reason.borrow());
    Router::new().route("/livez", get(async || "ok\n")).fallback(respond)
}

fn unavailable_response(reason: &str) -> Response {
    let text = format!("the disk can't be written: {reason}");
    let body = json!({ "error": "not-applied", "text": text }).to_string();
    let headers = [
        (header::CONTENT_TYPE, "application/json".to_string()),
        (header::RETRY_AFTER, RETRY_AFTER_S.to_string()),
        // The next response must come from the regular operators' listener.
        (header::CONNECTION, "close".to_string()),
    ];
    (StatusCode::SERVICE_UNAVAILABLE, headers, body).into_response()
}
