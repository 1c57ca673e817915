//! Requests as the users' pages say that callers send them: a redirection (307) is followed
//! twice, with method and body.

use std::time::Duration;

use bytes::Bytes;
use grebepath_runtime::http::client::{HttpClient, HttpError};
use http_body_util::Full;
use hyper::header::LOCATION;
use hyper::{Method, Request, Response, StatusCode};
use thiserror::Error;

/// Redirections that are followed (count).
const MAX_REDIRECTS: usize = 2;
/// Bytes of a response's body at most.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Why a request brought no response.
#[derive(Debug, Error)]
pub enum SendError {
    /// The request can't be written.
    #[error("{0}")]
    Write(#[from] hyper::http::Error),
    /// No response came.
    #[error(transparent)]
    Http(#[from] HttpError),
}

/// A request that may be sent to several addresses.
#[derive(Clone)]
pub struct FollowedRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Bytes,
}

impl FollowedRequest {
    /// A request without headers of its own.
    pub fn new(method: Method, path: &str, body: impl Into<Bytes>) -> FollowedRequest {
        FollowedRequest { method, path: path.into(), headers: Vec::new(), body: body.into() }
    }

    /// Sends it to an address (`host:port`) and follows redirections. Each response is waited
    /// for so long; a request that is given up closes its connection.
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
