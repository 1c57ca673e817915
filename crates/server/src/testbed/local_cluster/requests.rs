//! HTTP requests to the processes of a local cluster.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use grebepath_runtime::http::client::HttpClient;
use http_body_util::Full;
use hyper::{Method, Request};
use serde_json::{Value, json};

use super::LocalCluster;
use super::error::LocalClusterError;

/// Maximum number of attempts to send a change, each to the next controller.
const CHANGE_ATTEMPTS: usize = 10;

/// Sends a request. Returns the status and the body, as null if it is not JSON.
pub async fn request(
    http: &HttpClient,
    method: Method,
    url: String,
    body: Vec<u8>,
    headers: &[(&str, &str)],
) -> Result<(u16, Value), LocalClusterError> {
    let mut request = Request::builder().method(method).uri(url);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body)))?;
    let response = http.call_within(request, 1 << 28, Duration::from_secs(12)).await?;
    let value = serde_json::from_slice(response.body()).unwrap_or(Value::Null);
    Ok((response.status().as_u16(), value))
}

/// Fetches a text, such as a process's metrics.
pub async fn text(http: &HttpClient, url: String) -> Option<String> {
    let request = Request::get(url).body(Full::default()).ok()?;
    let response = http.call_within(request, 1 << 20, Duration::from_secs(2)).await.ok()?;
    String::from_utf8(response.body().to_vec()).ok()
}

impl LocalCluster {
    /// Changes the configuration through any controller that answers, with the same request id
    /// in all attempts. Returns the change's revision.
    pub async fn change(
        &self,
        method: Method,
        body: &[u8],
        id: &str,
    ) -> Result<u64, LocalClusterError> {
        let mut last = LocalClusterError::NoController;
        for attempt in 0..CHANGE_ATTEMPTS {
            let addr = self.operator_addrs[attempt % self.operator_addrs.len()];
            let url = format!("http://{addr}/v1/config");
            let headers = [("request-id", id)];
            match request(&self.http, method.clone(), url, body.to_vec(), &headers).await {
                Ok((200, value)) => {
                    return value["revision"].as_u64().ok_or(LocalClusterError::NoRevision);
                }
                Ok((code, body)) if code < 500 => {
                    return Err(LocalClusterError::Status { code, body });
                }
                Ok((code, body)) => last = LocalClusterError::Status { code, body },
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Changes single objects of the configuration. Returns the change's revision.
    pub async fn patch(&self, value: &Value, id: &str) -> Result<u64, LocalClusterError> {
        self.change(Method::PATCH, value.to_string().as_bytes(), id).await
    }

    /// Sends a control command to the mock back ends.
    pub async fn control_backends(&self, command: Value) -> Result<Value, LocalClusterError> {
        let url = format!("http://{}/control", self.list);
        let body = command.to_string().into_bytes();
        let (code, response) = request(&self.http, Method::POST, url, body, &[]).await?;
        if code == 200 { Ok(response) } else { Err(LocalClusterError::Rejected(response)) }
    }

    /// Fetches `/runs` or `/state` from the mock back ends.
    pub async fn query_backends(&self, path: &str) -> Result<Value, LocalClusterError> {
        let url = format!("http://{}{path}", self.list);
        Ok(request(&self.http, Method::GET, url, Vec::new(), &[]).await?.1)
    }

    /// Whether a querier is ready.
    pub async fn is_ready(&self, querier: usize) -> bool {
        crate::callers::is_ready(&self.http, self.caller_addrs[querier]).await
    }

    /// Returns the revision that a querier has applied, according to its metrics.
    pub async fn applied_revision(&self, querier: usize) -> Option<u64> {
        self.metric(self.caller_addrs[querier], "grebe_revision").await
    }

    /// Returns a metric of a process, summed over its labels.
    pub async fn metric(&self, addr: SocketAddr, name: &str) -> Option<u64> {
        let text = text(&self.http, format!("http://{addr}/metrics")).await?;
        let mut sum = None;
        for line in text.lines().filter(|line| !line.starts_with('#')) {
            let (key, value) = line.rsplit_once(' ')?;
            if key.split('{').next() == Some(name) {
                sum = Some(sum.unwrap_or(0) + value.parse::<u64>().ok()?);
            }
        }
        sum
    }

    /// Returns a controller's status of itself and the members.
    pub async fn status(&self, controller: usize) -> Result<Value, LocalClusterError> {
        let url = format!("http://{}/v1/status", self.operator_addrs[controller]);
        let (code, value) = request(&self.http, Method::GET, url, Vec::new(), &[]).await?;
        if code == 200 {
            Ok(value)
        } else {
            Err(LocalClusterError::Rejected(json!({ "status": code, "body": value })))
        }
    }

    /// Returns the voter slot of the leader of the configuration partition, according to the
    /// first controller that answers.
    pub async fn config_leader(&self) -> Option<usize> {
        for i in 0..self.operator_addrs.len() {
            if self.controllers[i].child.is_some()
                && let Ok(value) = self.status(i).await
                && let Some(n) = value["here"]["parts"][0]["owner"].as_u64()
                && self.controllers[n as usize].child.is_some()
            {
                return Some(n as usize);
            }
        }
        None
    }
}
