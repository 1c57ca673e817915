//! An HTTP client for small requests that reuses connections.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use thiserror::Error;

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Why a request got no response.
#[derive(Debug, Error)]
pub enum HttpError {
    /// No connection could be opened; no byte of the request was sent.
    #[error("unreachable: {}", error_chain(.0.as_ref()))]
    Unreachable(#[source] BoxError),
    /// The connection attempt timed out; no byte of the request was sent.
    #[error("unreachable: the connection attempt timed out")]
    ConnectTimedOut,
    /// The connection ended before the head of the response arrived.
    #[error("connection closed before the response: {}", error_chain(.0.as_ref()))]
    Interrupted(#[source] BoxError),
    /// The connection ended within the body of the response.
    #[error("response is incomplete: {0}")]
    BodyInterrupted(#[source] BoxError),
    /// The response has neither a length nor chunked encoding, so its end is unknown.
    #[error("response has no length")]
    Unframed,
    /// The response is larger than the limit.
    #[error("response is too large")]
    TooLarge,
    /// There was no response within the timeout.
    #[error("request timed out")]
    TimedOut,
}

impl HttpError {
    /// Whether it is certain that no byte of the request was sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, HttpError::Unreachable(_) | HttpError::ConnectTimedOut)
    }
}

/// An HTTP client that reuses connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client that keeps up to `idle` idle connections per address.
    pub fn new(idle: usize) -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(idle)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        HttpClient { client }
    }

    /// Sends a request and reads the complete response, with a body of up to `limit` bytes.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: usize,
    ) -> Result<Response<Bytes>, HttpError> {
        let response = self.client.request(request).await.map_err(|e| {
            if e.is_connect() {
                HttpError::Unreachable(e.into())
            } else {
                HttpError::Interrupted(e.into())
            }
        })?;
        read_response(response, limit).await
    }

    /// Runs [`HttpClient::call`] with a timeout.
    pub async fn call_within(
        &self,
        request: Request<Full<Bytes>>,
        limit: usize,
        timeout: Duration,
    ) -> Result<Response<Bytes>, HttpError> {
        match tokio::time::timeout(timeout, self.call(request, limit)).await {
            Ok(response) => response,
            Err(_) => Err(HttpError::TimedOut),
        }
    }
}

/// Reads a complete response, with a body of up to `limit` bytes.
pub(crate) async fn read_response(
    response: Response<hyper::body::Incoming>,
    limit: usize,
) -> Result<Response<Bytes>, HttpError> {
    let (head, body) = response.into_parts();
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(Response::from_parts(head, body.to_bytes())),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(HttpError::TooLarge),
        Err(e) => Err(HttpError::BodyInterrupted(e)),
    }
}

/// Formats an error together with the chain of its sources.
pub fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}
