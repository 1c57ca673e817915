//! The operator: gives orders one after the other, as the users' pages say, without ids.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use grebepath_runtime::http::client::HttpClient;
use hyper::Method;
use serde_json::{Value, json};
use testbed::redirects::FollowedRequest;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::record::{Record, ZoneOrder, ZoneRead};

/// Silence after which the operator goes on to another controller.
const SILENCE: Duration = Duration::from_secs(1);
/// The first pause between two attempts; it doubles.
const PAUSE: Duration = Duration::from_millis(50);
/// Attempts for one order (count).
const ATTEMPTS: usize = 12;

/// An order about a zone.
pub struct Order {
    /// The zone.
    pub zone: &'static str,
    /// Whether it is to be drained.
    pub drained: bool,
    /// The controller that is asked first.
    pub controller: usize,
}

/// Gives orders until none are left.
pub async fn work(
    controllers: Vec<SocketAddr>,
    mut orders: UnboundedReceiver<Order>,
    record: Rc<RefCell<Record>>,
    sends_drains: bool,
) {
    let http = HttpClient::new(4);
    while let Some(order) = orders.recv().await {
        note_what_stands(&http, &controllers, &record, order.zone).await;
        let at = begin(&record, &order);
        let is_sent = sends_drains || !order.drained;
        if !is_sent || give(&http, &controllers, &order).await {
            let mut record = record.borrow_mut();
            record.zone_orders[at].acknowledged_ms = Some(record.now_ms());
            record.note(format!("zone {}: drained {} acknowledged", order.zone, order.drained));
        }
    }
}

/// Reads how a zone stands, if somebody answers, and notes it beside the newest order about it.
async fn note_what_stands(
    http: &HttpClient,
    controllers: &[SocketAddr],
    record: &Rc<RefCell<Record>>,
    zone: &'static str,
) {
    for door in controllers {
        let request = FollowedRequest::new(Method::GET, "/v1/config", "");
        let Ok(answer) = request.send(http, &door.to_string(), SILENCE).await else { continue };
        let Ok(read) = serde_json::from_slice::<Value>(answer.body()) else { continue };
        let Some(zones) = read["config"]["zones"].as_array() else { continue };
        let is_drained = zones.iter().any(|z| z["name"] == zone && z["state"] == "drained");
        let mut record = record.borrow_mut();
        let at_ms = record.now_ms();
        let order = record.zone_orders.iter().rposition(|order| order.zone == zone);
        if let Some(order) = order {
            record.zone_reads.push(ZoneRead { order, is_drained, at_ms });
        }
        return;
    }
}

/// Notes that an order is sent now; gives its place.
fn begin(record: &Rc<RefCell<Record>>, order: &Order) -> usize {
    let mut record = record.borrow_mut();
    let Order { zone, drained, controller } = order;
    record.note(format!("zone {zone}: drained {drained} sent to controller {controller}"));
    let sent_ms = record.now_ms();
    let zone = zone.to_string();
    let drained = *drained;
    record.zone_orders.push(ZoneOrder { zone, drained, sent_ms, acknowledged_ms: None });
    record.zone_orders.len() - 1
}

/// Sends an order to one controller after the other, until one acknowledges it.
async fn give(http: &HttpClient, controllers: &[SocketAddr], order: &Order) -> bool {
    let state = if order.drained { "drained" } else { "open" };
    let body = json!({ "zones": [{ "name": order.zone, "state": state }] }).to_string();
    let request = FollowedRequest::new(Method::PATCH, "/v1/config", body);
    let mut pause = PAUSE;
    for attempt in 0..ATTEMPTS {
        let door = controllers[(order.controller + attempt) % controllers.len()];
        // A call that is given up closes its connection.
        let answer = request.send(http, &door.to_string(), SILENCE).await;
        if answer.is_ok_and(|answer| answer.status() == 200) {
            return true;
        }
        tokio::time::sleep(pause).await;
        pause *= 2;
    }
    false
}
