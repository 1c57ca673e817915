//! A client for requests to any of the controllers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use grebepath_core::consts;
use grebepath_core::http_api::operator::{EXPECT_REVISION, REQUEST_ID};
use grebepath_runtime::http::client::{HttpClient, HttpError};
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use serde_json::Value;
use thiserror::Error;

/// Margin for the network round trip, added to a controller's request timeout.
const NETWORK_MARGIN: Duration = Duration::from_secs(2);

/// Why a request has failed.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The list of controllers is empty.
    #[error("no controller address was given")]
    NoAddress,
    /// The request can't be built.
    #[error("{0}")]
    Write(#[from] hyper::http::Error),
    /// There was no response.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The response is not that of a controller.
    #[error("status {status} with a body that is not JSON: {source}")]
    NotJson {
        /// The response's status.
        status: StatusCode,
        /// Why the body is not JSON.
        source: serde_json::Error,
    },
    /// The controller responded with an error.
    #[error("status {code}: {body}")]
    Status {
        /// The response's status.
        code: u16,
        /// The response's body.
        body: Value,
    },
    /// A request to one of the controllers failed.
    #[error("{address}: {source}")]
    At {
        /// The controller's address.
        address: SocketAddr,
        /// The error.
        source: Box<RequestError>,
    },
}

impl RequestError {
    /// Whether it is certain that no byte of the request was sent.
    fn is_unsent(&self) -> bool {
        matches!(self, RequestError::Http(error) if error.is_unsent())
    }
}

/// A request that can be sent to several controllers in turn.
#[derive(Clone, Debug)]
pub struct ControllerRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The body, as JSON.
    pub body: Vec<u8>,
    /// The id under which a change may safely be sent again.
    pub request_id: Option<String>,
    /// The revision that a change must be based on.
    pub expected_revision: Option<u64>,
}

/// A controller's response.
pub struct Answer {
    /// The response's status.
    pub code: u16,
    /// The body.
    pub body: Value,
}

impl Answer {
    /// Returns the body if the status is 200.
    pub fn into_ok(self) -> Result<Value, RequestError> {
        match self {
            Answer { code: 200, body } => Ok(body),
            Answer { code, body } => Err(RequestError::Status { code, body }),
        }
    }
}

impl ControllerRequest {
    /// Creates a request without a body, an id or a revision.
    pub fn new(method: Method, path: impl Into<String>) -> ControllerRequest {
        ControllerRequest {
            method,
            path: path.into(),
            body: Vec::new(),
            request_id: None,
            expected_revision: None,
        }
    }

    /// Sends the request to one controller after another until one returns a final response. The
    /// request's id makes it safe to send a change repeatedly.
    pub async fn send_to_any(
        &self,
        http: &HttpClient,
        addresses: &[SocketAddr],
    ) -> Result<Answer, RequestError> {
        let mut last: Option<Answer> = None;
        let mut maybe_applied = false;
        let mut last_error = RequestError::NoAddress;
        for address in addresses {
            match self.send_to(http, *address).await {
                Ok(answer) if answer.code >= 500 => {
                    maybe_applied |= answer.code != 503;
                    last = Some(answer);
                }
                Ok(answer) => return Ok(answer),
                Err(error) => {
                    // If no connection could be opened, the request was not sent.
                    maybe_applied |= !error.is_unsent();
                    last_error = RequestError::At { address: *address, source: Box::new(error) };
                }
            }
        }
        // A "not applied" response says nothing about another attempt with an unknown outcome.
        match last {
            Some(Answer { code: 503, body }) if maybe_applied => Ok(Answer { code: 504, body }),
            last => last.ok_or(last_error),
        }
    }

    /// Sends the request to one controller.
    pub async fn send_to(
        &self,
        http: &HttpClient,
        address: SocketAddr,
    ) -> Result<Answer, RequestError> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{address}{}", self.path))
            .header("content-type", "application/json");
        if let Some(id) = &self.request_id {
            request = request.header(REQUEST_ID, id);
        }
        if let Some(revision) = self.expected_revision {
            request = request.header(EXPECT_REVISION, revision.to_string());
        }
        let request = request.body(Full::new(Bytes::from(self.body.clone())))?;
        let timeout = Duration::from_micros(consts::OPERATOR_REQUEST_TIMEOUT) + NETWORK_MARGIN;
        let response =
            http.call_within(request, consts::MAX_OPERATOR_REQUEST_BYTES, timeout).await?;
        let status = response.status();
        let body = serde_json::from_slice(response.body())
            .map_err(|source| RequestError::NotJson { status, source })?;
        Ok(Answer { code: status.as_u16(), body })
    }
}
