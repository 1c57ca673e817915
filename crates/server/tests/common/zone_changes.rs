//! Configuration changes that drain or open a zone, without a request id or base revision.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use hyper::Method;
use serde_json::{Value, json};
use testbed::local_cluster::{self, LocalCluster};
use testbed::redirects::FollowedRequest;

/// Time without a response after which a client turns to another controller.
pub const CLIENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time that a test waits for an expected state.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time within which a delayed change would have been applied.
pub const SETTLE_TIME: Duration = Duration::from_millis(1_500);

fn body(state: &str) -> String {
    json!({ "zones": [{ "name": "a", "state": state }] }).to_string()
}

/// Returns the bytes of an HTTP request that sets the zone's state. Each `padding` gives a
/// different body with the same meaning.
pub fn request_bytes(state: &str, padding: usize) -> Vec<u8> {
    let body = body(state) + &" ".repeat(padding);
    let length = body.len();
    format!("PATCH /v1/config HTTP/1.1\r\nHost: c\r\nContent-Length: {length}\r\n\r\n{body}").into()
}

/// Sends a change without waiting for the response.
pub fn send_without_waiting(address: SocketAddr, state: &str, padding: usize) -> TcpStream {
    let mut connection = TcpStream::connect(address).expect("a listener accepts connections");
    connection.write_all(&request_bytes(state, padding)).expect("the connection is new");
    connection
}

/// Repeats a change at a controller until it is acknowledged. Follows no redirects.
pub async fn change_until_acknowledged(cluster: &LocalCluster, address: SocketAddr, state: &str) {
    let acknowledged = || async {
        let url = format!("http://{address}/v1/config");
        let body = body(state).into_bytes();
        let sent = local_cluster::request(&cluster.http, Method::PATCH, url, body, &[]).await;
        sent.is_ok_and(|(status, _)| status == 200)
    };
    assert!(local_cluster::until(WAIT_TIMEOUT, acknowledged).await, "{state} was not acknowledged");
}

/// Sends a change once, following redirects. Returns the status of the response, or `None` if
/// none arrives within `timeout`.
pub async fn change_following_redirects(
    cluster: &LocalCluster,
    address: SocketAddr,
    state: &str,
    timeout: Duration,
) -> Option<u16> {
    let request = FollowedRequest::new(Method::PATCH, "/v1/config", body(state));
    let sent = request.send(&cluster.http, &address.to_string(), timeout).await;
    sent.ok().map(|response| response.status().as_u16())
}

/// Returns the state of zone `a`.
pub async fn zone_state(cluster: &LocalCluster) -> Value {
    let url = format!("http://{}/v1/config", cluster.operator_addrs[0]);
    let response = local_cluster::request(&cluster.http, Method::GET, url, Vec::new(), &[]).await;
    let (_, value) = response.expect("a controller responds");
    let zones = value["config"]["zones"].as_array().cloned().unwrap_or_default();
    zones.iter().find(|zone| zone["name"] == "a").map_or(Value::Null, |z| z["state"].clone())
}

/// Returns the leader of the configuration partition, then the two followers.
pub async fn leader_and_followers(cluster: &LocalCluster) -> [usize; 3] {
    let leader = cluster.config_leader().await.expect("a controller is leader");
    [leader, (leader + 1) % 3, (leader + 2) % 3]
}
