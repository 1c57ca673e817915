//! Requests to the controllers: any of them will do.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use grebepath_core::consts;
use grebepath_core::http_api::operator::{EXPECT_REVISION, REQUEST_ID};
use grebepath_runtime::http::client::HttpClient;
use http_body_util::Full;
use hyper::{Method, Request};
use serde_json::Value;

/// A request that may be sent to one controller after another.
#[derive(Clone)]
pub struct Ask {
    pub method: Method,
    pub path: String,
    pub body: Vec<u8>,
    pub request: Option<String>,
    pub expect: Option<u64>,
}

/// An answer: status and JSON.
pub type Answer = (u16, Value);

/// A request that only reads.
pub fn reading(path: &str) -> Ask {
    Ask {
        method: Method::GET,
        path: path.to_string(),
        body: Vec::new(),
        request: None,
        expect: None,
    }
}

/// Asks one controller after another until one says something final. The
/// request's id makes it safe to send a change again.
pub async fn ask(http: &HttpClient, at: &[SocketAddr], ask: &Ask) -> Result<Answer, String> {
    let mut last: Option<Answer> = None;
    let mut maybe = false;
    let mut trouble = String::from("no address was given");
    for addr in at {
        match one(http, *addr, ask).await {
            Ok((code, body)) if code >= 500 => {
                maybe |= code != 503;
                last = Some((code, body));
            }
            Ok(answer) => return Ok(answer),
            Err(e) => {
                // A connection that was refused carried nothing.
                maybe |= !e.starts_with("unreachable");
                trouble = format!("{addr}: {e}");
            }
        }
    }
    // One "not applied" does not undo another try's unknown end.
    match last {
        Some((503, body)) if maybe => Ok((504, body)),
        last => last.ok_or(trouble),
    }
}

/// Asks one controller.
pub async fn one(http: &HttpClient, addr: SocketAddr, ask: &Ask) -> Result<Answer, String> {
    let mut req = Request::builder()
        .method(ask.method.clone())
        .uri(format!("http://{addr}{}", ask.path))
        .header("content-type", "application/json");
    if let Some(id) = &ask.request {
        req = req.header(REQUEST_ID, id);
    }
    if let Some(revision) = ask.expect {
        req = req.header(EXPECT_REVISION, revision.to_string());
    }
    let req = req.body(Full::new(Bytes::from(ask.body.clone()))).map_err(|e| e.to_string())?;
    let wait = Duration::from_micros(consts::OPERATE_PATIENCE) + Duration::from_secs(2);
    let resp =
        http.call_within(req, consts::CONFIG_LIMIT, wait).await.map_err(|e| e.to_string())?;
    let body = serde_json::from_slice(resp.body())
        .map_err(|e| format!("status {} with a body that is not JSON: {e}", resp.status()))?;
    Ok((resp.status().as_u16(), body))
}
