//! A start on a disk without room: the controller listens, says why it serves nobody, and
//! goes on by itself once its files can be written.

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

/// Time between two tries to write.
const RETRY: Duration = Duration::from_millis(250);
/// When callers are told to come back (s): the platform asks for readiness each second.
const RETRY_AFTER_S: u64 = 1;

/// Opens the disk. While it has no room, operators are told so and it is tried again.
/// `None` if the process was asked to stop meanwhile.
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
    first: ControllerError,
) -> Result<Option<OpenDisk>, ControllerError> {
    warn!("the disk can't be written, and is tried again: {first}");
    crate::announce(&format!("controller waits for its disk: {first}"));
    let (reason, current_reason) = watch::channel(first.to_string());
    let listener = operators.try_clone()?;
    let serving =
        server::serve(listener, consts::MAX_OPERATOR_CONNECTIONS, router(current_reason), never());
    let serving = tokio::spawn(serving);
    // A SIGHUP must not end the process here either.
    let mut settings_watch = SettingsWatch::new(None);
    let stop = grebepath_runtime::stop::requested();
    tokio::pin!(stop);
    let opened = loop {
        tokio::select! {
            _ = &mut stop => break Ok(None),
            _ = settings_watch.changed() => continue,
            () = tokio::time::sleep(RETRY) => {}
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

/// Tells that the process lives, and at every other path why it serves nobody.
fn router(reason: watch::Receiver<String>) -> Router {
    let respond = async move || unavailable_response(&reason.borrow());
    Router::new().route("/livez", get(async || "ok\n")).fallback(respond)
}

fn unavailable_response(reason: &str) -> Response {
    let text = format!("the disk can't be written: {reason}");
    let body = json!({ "error": "not-applied", "text": text }).to_string();
    let heads = [
        (header::CONTENT_TYPE, "application/json".to_string()),
        (header::RETRY_AFTER, RETRY_AFTER_S.to_string()),
        // The next answer comes from the listener that follows.
        (header::CONNECTION, "close".to_string()),
    ];
    (StatusCode::SERVICE_UNAVAILABLE, heads, body).into_response()
}
