//! Confirmations of orders that name neither an id nor a base.
//!
//! Such an order may have lain in a socket, a relay or a cut network for seconds, while its
//! sender went on to another controller and gave others. Nothing in it tells that, and no look
//! at the connection does: it may end at a relay that still waits. So it is not carried out when
//! it comes. Its sender is redirected (307) to a location that names the revision that stands
//! and an id; whoever follows was still waiting when that revision was read, and whatever the
//! sender orders elsewhere after that makes another one, on which the leader refuses this.

use std::convert::Infallible;
use std::net::{IpAddr, Ipv4Addr};

use axum::extract::FromRequestParts;
use axum::extract::connect_info::ConnectInfo;
use axum::http::request::Parts;
use axum::http::{Uri, header};
use grebepath_runtime::http::server::PeerAddress;

use crate::operation_request::new_request_id;

/// Query parameter of a location that confirms an order.
const PARAMETER: &str = "confirm";
/// Redirections that a caller follows (count).
const MAX_REDIRECTIONS: u32 = 2;

/// What an order is confirmed with: it is carried out once under this id, and only if nothing
/// was accepted since this revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Confirmation {
    /// The id that was made up for the order.
    pub request_id: String,
    /// The revision that stood when the sender was asked to confirm.
    pub revision: u64,
    /// Redirections of the sender so far (count).
    pub redirections: u32,
}

impl Confirmation {
    /// The first one of an order.
    pub fn first(revision: u64) -> Confirmation {
        Confirmation { request_id: new_request_id(), revision, redirections: 1 }
    }

    /// The next one, once the configuration has moved on to another revision; `None` if the
    /// sender would not follow.
    pub fn next(&self, revision: u64) -> Option<Confirmation> {
        let redirections = self.redirections + 1;
        let request_id = self.request_id.clone();
        (redirections <= MAX_REDIRECTIONS).then_some(Confirmation {
            request_id,
            revision,
            redirections,
        })
    }

    /// The one that a request's target names, if it names one.
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

    /// Where the sender of an order confirms it.
    pub fn location(&self, sender: &Sender) -> String {
        let Confirmation { request_id, revision, redirections } = self;
        let Sender { host, path, .. } = sender;
        format!("http://{host}{path}?{PARAMETER}={request_id}.{revision}.{redirections}")
    }
}

/// Who sent an order, and where to.
#[derive(Clone, Debug)]
pub struct Sender {
    /// The address that the connection came from.
    pub address: IpAddr,
    /// What the sender calls this controller.
    pub host: String,
    /// The order's method.
    pub method: String,
    /// The order's path, without its query.
    pub path: String,
    /// The confirmation that came with it.
    pub confirmation: Option<Confirmation>,
}

impl<S: Sync> FromRequestParts<S> for Sender {
    type Rejection = Infallible;

    async fn from_request_parts(parts: &mut Parts, _: &S) -> Result<Sender, Infallible> {
        Ok(Sender::from_parts(parts))
    }
}

impl Sender {
    /// The sender of a request.
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
