//! Requests to the controllers: any of them will do.

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

/// Added to the time that a controller may take, for the way there and back.
const NETWORK_MARGIN: Duration = Duration::from_secs(2);

/// Why there is no answer, or none that is of use.
#[derive(Debug, Error)]
pub enum RequestError {
    /// There is nobody to ask.
    #[error("no address was given")]
    NoAddress,
    /// The request can't be written.
    #[error("{0}")]
    Write(#[from] hyper::http::Error),
    /// No response came.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The response is not a controller's.
    #[error("status {status} with a body that is not JSON: {source}")]
    NotJson {
        /// The response's status.
        status: StatusCode,
        /// What the body is instead.
        source: serde_json::Error,
    },
    /// The answer is another than what was asked for.
    #[error("status {code}: {body}")]
    Status {
        /// The response's status.
        code: u16,
        /// What the controller says of it.
        body: Value,
    },
    /// One of several controllers could not be asked.
    #[error("{address}: {source}")]
    At {
        /// Its address.
        address: SocketAddr,
        /// Why.
        source: Box<RequestError>,
    },
}

impl RequestError {
    /// Whether certainly not a byte of the request was sent.
    fn is_unsent(&self) -> bool {
        matches!(self, RequestError::Http(error) if error.is_unsent())
    }
}

/// A request that may be sent to one controller after another.
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
    /// The revision that a change must build on.
    pub expected_revision: Option<u64>,
}

/// A controller's answer.
pub struct Answer {
    /// The response's status.
    pub code: u16,
    /// The body.
    pub body: Value,
}

impl Answer {
    /// The body of an answer that says that all is well.
    pub fn into_ok(self) -> Result<Value, RequestError> {
        match self {
            Answer { code: 200, body } => Ok(body),
            Answer { code, body } => Err(RequestError::Status { code, body }),
        }
    }
}

impl ControllerRequest {
    /// A request without a body, id or revision.
    pub fn new(method: Method, path: impl Into<String>) -> ControllerRequest {
        ControllerRequest {
            method,
            path: path.into(),
            body: Vec::new(),
            request_id: None,
            expected_revision: None,
        }
    }

    /// Asks one controller after another until one says something final. The
    /// request's id makes it safe to send a change again.
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
                    // A connection that was refused carried nothing.
                    maybe_applied |= !error.is_unsent();
                    last_error = RequestError::At { address: *address, source: Box::new(error) };
                }
            }
        }
        // One "not applied" does not undo another attempt's unknown end.
        match last {
            Some(Answer { code: 503, body }) if maybe_applied => Ok(Answer { code: 504, body }),
            last => last.ok_or(last_error),
        }
    }

    /// Asks one controller.
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
