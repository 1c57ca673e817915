//! The rollout commands.

use std::collections::BTreeSet;

use grebepath_core::config::route::Route;
use grebepath_core::http_api::rollout::ROLLOUTS;
use grebepath_runtime::http::client::HttpClient;
use hyper::Method;
use serde_json::{Value, json};

use crate::cli::{Args, EXIT_OK, RolloutVerb};
use crate::controller_client::ControllerRequest;
use crate::verbs::{Failure, controllers, send_change};

/// Runs a rollout command and returns the exit code.
pub async fn run(args: &Args, http: &HttpClient, verb: &RolloutVerb) -> Result<i32, Failure> {
    match verb {
        RolloutVerb::Start { service, version, over_s } => {
            let order = json!({ "service": service, "version": version, "over_s": over_s });
            send_change(args, http, Method::POST, ROLLOUTS, order.to_string().into_bytes()).await
        }
        RolloutVerb::Abort { service } => {
            send_change(args, http, Method::DELETE, &path_of(service), Vec::new()).await
        }
        RolloutVerb::Status { service } => status(args, http, service.as_deref()).await,
        RolloutVerb::History { service } => history(args, http, service).await,
    }
}

fn path_of(service: &str) -> String {
    format!("{ROLLOUTS}/{service}")
}

async fn read(args: &Args, http: &HttpClient, path: &str) -> Result<Value, Failure> {
    let request = ControllerRequest::new(Method::GET, path);
    Ok(request.send_to_any(http, &controllers(args)?).await?.into_ok()?)
}

async fn status(args: &Args, http: &HttpClient, service: Option<&str>) -> Result<i32, Failure> {
    let rollouts = match service {
        Some(service) => vec![read(args, http, &path_of(service)).await?],
        None => to_list(&read(args, http, ROLLOUTS).await?["rollouts"]),
    };
    if args.json {
        println!("{}", Value::Array(rollouts));
        return Ok(EXIT_OK);
    }
    for rollout in &rollouts {
        println!("{}", status_line(rollout));
    }
    Ok(EXIT_OK)
}

async fn history(args: &Args, http: &HttpClient, service: &str) -> Result<i32, Failure> {
    let newest = read(args, http, &path_of(service)).await?;
    let mut rollouts = to_list(&newest["history"]);
    rollouts.push(newest);
    if args.json {
        println!("{}", Value::Array(rollouts));
        return Ok(EXIT_OK);
    }
    for rollout in &rollouts {
        println!("{}", history_line(rollout));
    }
    Ok(EXIT_OK)
}

/// Returns the rollouts of the services that a route's shards are queried from.
pub async fn rollouts_of_route(
    args: &Args,
    http: &HttpClient,
    route: &Route,
) -> Result<Value, Failure> {
    let pools = route.shards.iter().flat_map(|shard| &shard.pools);
    let services: BTreeSet<&str> = pools.map(|pool| pool.service.as_str()).collect();
    let mut rollouts = to_list(&read(args, http, ROLLOUTS).await?["rollouts"]);
    rollouts.retain(|rollout| services.contains(text(rollout, "service")));
    Ok(Value::Array(rollouts))
}

fn to_list(value: &Value) -> Vec<Value> {
    value.as_array().cloned().unwrap_or_default()
}

fn text<'a>(rollout: &'a Value, field: &str) -> &'a str {
    rollout[field].as_str().unwrap_or("?")
}

fn seconds(rollout: &Value, field: &str) -> f64 {
    rollout[field].as_u64().unwrap_or(0) as f64 / 1e3
}

/// Formats a rollout as a line of text.
pub fn status_line(rollout: &Value) -> String {
    format!(
        "{} to {}: {} ({}, {}), {:.1} s of {:.1} s",
        text(rollout, "service"),
        text(rollout, "version"),
        text(rollout, "state"),
        text(rollout, "phase"),
        text(rollout, "reason"),
        seconds(rollout, "elapsed_ms"),
        seconds(rollout, "over_ms"),
    )
}

fn history_line(rollout: &Value) -> String {
    format!(
        "{} to {}: {} ({}) after {:.1} s",
        rollout["id"],
        text(rollout, "version"),
        text(rollout, "phase"),
        text(rollout, "reason"),
        seconds(rollout, "elapsed_ms"),
    )
}
