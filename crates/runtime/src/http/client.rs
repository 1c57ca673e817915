//! A client that keeps connections open, for small requests.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use thiserror::Error;

/// Time after which a connection attempt is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Why a request brought no response.
#[derive(Debug, Error)]
pub enum HttpError {
    /// There is no connection: not a byte was sent.
    #[error("unreachable: {}", error_chain(.0.as_ref()))]
    Unreachable(#[source] BoxError),
    /// A connection was not there in time: not a byte was sent.
    #[error("unreachable: no wire in time")]
    ConnectTimedOut,
    /// The connection ended before the response's head came.
    #[error("cut short: {}", error_chain(.0.as_ref()))]
    Interrupted(#[source] BoxError),
    /// The connection ended before the response's body did.
    #[error("cut short: {0}")]
    BodyInterrupted(#[source] BoxError),
    /// The response does not say where it ends.
    #[error("cut short: an answer without a length")]
    Unframed,
    /// The response is larger than was allowed.
    #[error("the answer is too large")]
    TooLarge,
    /// No response within the time that was allowed.
    #[error("no answer in time")]
    TimedOut,
}

impl HttpError {
    /// Whether certainly not a byte of the request was sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, HttpError::Unreachable(_) | HttpError::ConnectTimedOut)
    }
}

/// A client that keeps connections open.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// A client that keeps up to `idle` unused connections to each address.
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

    /// Sends a request and reads the whole response, up to `limit` bytes.
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

    /// [`HttpClient::call`], given up after `timeout`.
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

/// Reads a whole response, up to `limit` bytes of body.
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

/// An error with all that caused it.
pub fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}
