//! Confirmations of requests that have neither an id nor an expected revision.
//!
//! Such a request may have been delayed for seconds in a socket, a proxy or a network partition,
//! while its sender timed out and sent other requests to another controller. Neither the request
//! nor the state of the connection shows this, since the connection may end at a proxy that still
//! waits. So the request is not executed when it arrives. Its sender is redirected (307) to a
//! location that contains the current revision and a new id. A sender that follows was still
//! waiting when the revision was read. Any change that it requests elsewhere after that creates a
//! new revision, and the leader then rejects the confirmed request as a conflict.

use std::convert::Infallible;
use std::net::{IpAddr, Ipv4Addr};

use axum::extract::FromRequestParts;
use axum::extract::connect_info::ConnectInfo;
use axum::http::request::Parts;
use axum::http::{Uri, header};
use grebepath_runtime::http::server::PeerAddress;

use crate::operation_request::new_request_id;

/// Query parameter of a location that confirms a request.
const PARAMETER: &str = "confirm";
/// Maximum number of redirections that a sender is expected to follow.
const MAX_REDIRECTIONS: u32 = 2;

/// The confirmation of a request. The request is executed once under this id, and only if no change
/// was accepted after this revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Confirmation {
    /// The generated id of the request.
    pub request_id: String,
    /// The revision at the time of the redirection.
    pub revision: u64,
    /// Number of redirections of the sender so far.
    pub redirections: u32,
}

impl Confirmation {
    /// Returns the first confirmation of a request.
    pub fn first(revision: u64) -> Confirmation {
        Confirmation { request_id: new_request_id(), revision, redirections: 1 }
    }

    /// Returns the confirmation to use after the configuration has changed to another revision, or
    /// `None` if the sender would not follow another redirection.
    pub fn next(&self, revision: u64) -> Option<Confirmation> {
        let redirections = self.redirections + 1;
        let request_id = self.request_id.clone();
        (redirections <= MAX_REDIRECTIONS).then_some(Confirmation {
            request_id,
            revision,
            redirections,
        })
    }

    /// Parses the confirmation in a request's target, if there is one.
    pub fn from_uri(uri: &Uri) -> Option<Confirmation> {
        let mut parameters = uri.query()?.split('&');
        let value = parameters.find_map(|p| p.strip_prefix(PARAMETER)?.strip_prefix('='))?;
        let mut parts = value.split('.');
        let request_id = parts.next()?.to_string();
        let revision = parts.next()?.parse().ok()?;
        let redirections = parts.next()?.parse().ok()?;
        let is_complete = parts.next().is_none() && !request_id.is_empty();
        is_complete.then_some(Confirmation { request_id, revision, redirections })
    }

    /// Returns the location at which the sender confirms its request.
    pub fn location(&self, sender: &Sender) -> String {
        let Confirmation { request_id, revision, redirections } = self;
        let Sender { host, path, .. } = sender;
        format!("http://{host}{path}?{PARAMETER}={request_id}.{revision}.{redirections}")
    }
}

/// The sender and the target of a request.
#[derive(Clone, Debug)]
pub struct Sender {
    /// The remote IP address of the connection.
    pub address: IpAddr,
    /// The host under which the sender reaches this controller.
    pub host: String,
    /// The HTTP method.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The confirmation in the query, if there is one.
    pub confirmation: Option<Confirmation>,
}

impl<S: Sync> FromRequestParts<S> for Sender {
    type Rejection = Infallible;

    async fn from_request_parts(parts: &mut Parts, _: &S) -> Result<Sender, Infallible> {
        Ok(Sender::from_parts(parts))
    }
}

impl Sender {
    /// Returns the sender of a request.
    pub fn from_parts(parts: &Parts) -> Sender {
        let connection = parts.extensions.get::<ConnectInfo<PeerAddress>>();
        let unknown = || IpAddr::V4(Ipv4Addr::UNSPECIFIED);
        let named = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
        let authority = parts.uri.authority().map(|authority| authority.as_str());
        let local = connection.map(|ConnectInfo(peer)| peer.local.to_string());
        Sender {
            address: connection.map_or_else(unknown, |ConnectInfo(peer)| peer.remote.ip()),
            host: named.or(authority).map(str::to_string).or(local).unwrap_or_default(),
            method: parts.method.to_string(),
            path: parts.uri.path().to_string(),
            confirmation: Confirmation::from_uri(&parts.uri),
        }
    }
}
