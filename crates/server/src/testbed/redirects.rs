//! Requests as the documentation asks callers to send them: up to two redirections (307) are
//! followed, with the same method and body.

use std::time::Duration;

use bytes::Bytes;
use grebepath_runtime::http::client::{HttpClient, HttpError};
use http_body_util::Full;
use hyper::header::LOCATION;
use hyper::{Method, Request, Response, StatusCode};
use thiserror::Error;

/// Maximum number of redirections that are followed.
const MAX_REDIRECTS: usize = 2;
/// Maximum size of a response body (bytes).
const MAX_BODY_BYTES: usize = 1 << 20;

/// Why a request got no response.
#[derive(Debug, Error)]
pub enum SendError {
    /// The request could not be built.
    #[error("{0}")]
    Write(#[from] hyper::http::Error),
    /// The exchange failed.
    #[error(transparent)]
    Http(#[from] HttpError),
}

/// A request that follows redirections and may be sent to several addresses.
#[derive(Clone)]
pub struct FollowedRequest {
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Additional headers.
    pub headers: Vec<(&'static str, String)>,
    /// The request body.
    pub body: Bytes,
}

impl FollowedRequest {
    /// Creates a request without additional headers.
    pub fn new(method: Method, path: &str, body: impl Into<Bytes>) -> FollowedRequest {
        FollowedRequest { method, path: path.into(), headers: Vec::new(), body: body.into() }
    }

    /// Sends the request to an address (`host:port`) and follows redirections. `timeout` applies
    /// to each response; a request that times out closes its connection.
    pub async fn send(
        &self,
        http: &HttpClient,
        address: &str,
        timeout: Duration,
    ) -> Result<Response<Bytes>, SendError> {
        let mut url = format!("http://{address}{}", self.path);
        let mut followed = 0;
        loop {
            let mut request = Request::builder().method(self.method.clone()).uri(&url);
            for (name, value) in &self.headers {
                request = request.header(*name, value);
            }
            let request = request.body(Full::new(self.body.clone()))?;
            let response = http.call_within(request, MAX_BODY_BYTES, timeout).await?;
            let location = response.headers().get(LOCATION).and_then(|l| l.to_str().ok());
            match location {
                Some(location)
                    if response.status() == StatusCode::TEMPORARY_REDIRECT
                        && followed < MAX_REDIRECTS =>
                {
                    url = location.to_string();
                    followed += 1;
                }
                _ => return Ok(response),
            }
        }
    }
}
