//! Implements the commands.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use grebepath_core::config::route::RoutingTable;
use grebepath_core::config::types::Config;
use grebepath_core::diagnostic::Diagnostic;
use grebepath_core::http_api::operator::{CONFIG, STATUS};
use grebepath_runtime::http::client::HttpClient;
use hyper::Method;
use serde_json::{Value, json};

use crate::cli::{
    Args, EXIT_CONFLICT, EXIT_DIFFERS, EXIT_FAILED, EXIT_INVALID, EXIT_NOT_APPLIED_IN_TIME,
    EXIT_OK, EXIT_UNKNOWN, EXIT_USAGE, Verb, addresses,
};
use crate::controller_client::{Answer, ControllerRequest, RequestError};
use crate::rollouts;
use crate::show::{self, ControllerStatus};

/// Why a command has failed.
pub struct Failure {
    /// The message to print; empty if it was printed already.
    message: String,
    exit_code: i32,
}

impl Failure {
    fn new(message: impl Into<String>, exit_code: i32) -> Failure {
        Failure { message: message.into(), exit_code }
    }

    /// Creates the failure of a request that reached no controller or was definitely not applied.
    fn not_applied(message: impl Into<String>) -> Failure {
        Failure::new(message, EXIT_FAILED)
    }
}

impl From<RequestError> for Failure {
    fn from(error: RequestError) -> Failure {
        Failure::not_applied(error.to_string())
    }
}

/// Runs a command and returns the exit code.
pub async fn run(args: Args) -> i32 {
    let http = grebepath_runtime::http::client::HttpClient::new(1);
    match verb(&args, &http).await {
        Ok(code) => code,
        Err(Failure { message, exit_code }) => {
            if !message.is_empty() {
                eprintln!("grebectl: {message}");
            }
            exit_code
        }
    }
}

/// Returns the controllers' addresses from the command line.
pub fn controllers(args: &Args) -> Result<Vec<SocketAddr>, Failure> {
    addresses(args).map_err(|error| Failure::new(error.to_string(), EXIT_USAGE))
}

fn read_file(file: &str) -> Result<Vec<u8>, Failure> {
    let result = if file == "-" {
        let mut raw = Vec::new();
        std::io::Read::read_to_end(&mut std::io::stdin(), &mut raw).map(|_| raw)
    } else {
        std::fs::read(file)
    };
    result.map_err(|error| Failure::new(format!("{file}: {error}"), EXIT_USAGE))
}

fn parse_config(args: &Args, raw: &[u8]) -> Result<(Config, RoutingTable), Failure> {
    let result = Config::from_json(raw).and_then(|c| RoutingTable::build(&c).map(|b| (c, b)));
    result.map_err(|all| {
        show::print_diagnostics(&all, args.json);
        Failure::new("", EXIT_INVALID)
    })
}

async fn verb(args: &Args, http: &HttpClient) -> Result<i32, Failure> {
    match &args.verb {
        Verb::Check { file } => {
            let (_, table) = parse_config(args, &read_file(file)?)?;
            if args.json {
                println!("{}", json!({ "searches": table.routes.len() }));
            } else {
                println!("valid: {} searches", table.routes.len());
            }
            Ok(EXIT_OK)
        }
        Verb::Apply { file } => send(args, http, Method::PUT, read_file(file)?).await,
        Verb::Patch { file } => send(args, http, Method::PATCH, read_file(file)?).await,
        Verb::Drain { zone } => send(args, http, Method::PATCH, zone_patch(zone, "drained")).await,
        Verb::Undrain { zone } => send(args, http, Method::PATCH, zone_patch(zone, "open")).await,
        Verb::Get => {
            let (revision, config) = get(args, http).await?;
            let val = config.to_json();
            if args.json {
                println!("{}", json!({ "revision": revision, "config": val }));
            } else {
                eprintln!("revision {revision}");
                println!("{}", serde_json::to_string_pretty(&val).unwrap_or_default());
            }
            Ok(EXIT_OK)
        }
        Verb::Diff { file } => diff(args, http, &read_file(file)?).await,
        Verb::Status => status(args, http).await,
        Verb::ForceRecovery { controller } => force_recovery(http, controller).await,
        Verb::Forget { member } => forget_member(args, http, member).await,
        Verb::Rollout(verb) => rollouts::run(args, http, verb).await,
        Verb::Explain { search, key, file } => {
            explain(args, http, search, key.as_deref(), file.as_deref()).await
        }
    }
}

async fn force_recovery(http: &HttpClient, controller: &str) -> Result<i32, Failure> {
    let address = controller.parse().map_err(|_| {
        let text = format!("`{controller}` is not an IP address with a port");
        Failure::new(text, EXIT_USAGE)
    })?;
    let request = ControllerRequest::new(Method::POST, "/v1/vouch");
    request.send_to(http, address).await?.into_ok()?;
    println!("recovery forced; `grebectl status` shows its progress");
    Ok(EXIT_OK)
}

async fn forget_member(args: &Args, http: &HttpClient, member: &str) -> Result<i32, Failure> {
    let request = ControllerRequest::new(Method::DELETE, format!("/v1/members/{member}"));
    request.send_to_any(http, &controllers(args)?).await?.into_ok()?;
    println!("forgotten");
    Ok(EXIT_OK)
}

async fn explain(
    args: &Args,
    http: &HttpClient,
    search: &str,
    key: Option<&str>,
    file: Option<&str>,
) -> Result<i32, Failure> {
    let table = match file {
        Some(file) => parse_config(args, &read_file(file)?)?.1,
        None => {
            let (_, config) = get(args, http).await?;
            RoutingTable::build(&config).map_err(|_| {
                Failure::not_applied(
                    "the configuration in force is invalid for this version of grebectl",
                )
            })?
        }
    };
    let Some(route) = table.routes.get(search) else {
        let known: Vec<_> = table.routes.keys().map(String::as_str).collect();
        let text = format!("no search `{search}`; known are {}", known.join(", "));
        return Err(Failure::not_applied(text));
    };
    let mut plan = show::plan(route, key);
    if file.is_none() {
        plan["rollouts"] = rollouts::rollouts_of_route(args, http, route).await?;
    }
    if args.json {
        println!("{plan}");
    } else {
        print!("{}", show::plan_text(&plan));
    }
    Ok(EXIT_OK)
}

fn zone_patch(zone: &str, state: &str) -> Vec<u8> {
    json!({ "zones": [{ "name": zone, "state": state }] }).to_string().into_bytes()
}

async fn get(args: &Args, http: &HttpClient) -> Result<(u64, Config), Failure> {
    let request = ControllerRequest::new(Method::GET, CONFIG);
    let body = request.send_to_any(http, &controllers(args)?).await?.into_ok()?;
    let config = Config::from_json(body["config"].to_string().as_bytes()).map_err(|_| {
        Failure::not_applied(
            "the configuration in force can't be parsed by this version of grebectl",
        )
    })?;
    Ok((body["revision"].as_u64().unwrap_or(0), config))
}

async fn send(
    args: &Args,
    http: &HttpClient,
    method: Method,
    body: Vec<u8>,
) -> Result<i32, Failure> {
    // An invalid configuration is reported without a request to a controller.
    if method == Method::PUT {
        parse_config(args, &body)?;
    }
    send_change(args, http, method, CONFIG, body).await
}

/// Sends a change under the given id or a new one, and prints the result.
pub async fn send_change(
    args: &Args,
    http: &HttpClient,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<i32, Failure> {
    let list = controllers(args)?;
    let id = args.request.clone().unwrap_or_else(|| {
        format!(
            "ctl-{:016x}{:016x}",
            grebepath_runtime::clock::nonce(),
            grebepath_runtime::clock::nonce()
        )
    });
    let request = ControllerRequest {
        body,
        request_id: Some(id.clone()),
        expected_revision: args.expect,
        ..ControllerRequest::new(method, path)
    };
    let answer = request.send_to_any(http, &list).await.map_err(|error| {
        Failure::new(format!("{error}; retry with --request-id {id}"), EXIT_UNKNOWN)
    })?;
    let Answer { code, body: answer } = answer;
    let exit = match code {
        200 => EXIT_OK,
        422 | 400 => EXIT_INVALID,
        412 => EXIT_CONFLICT,
        404 | 409 | 503 => EXIT_FAILED,
        _ => EXIT_UNKNOWN,
    };
    let revision = answer["revision"].as_u64().unwrap_or(0);
    if args.json {
        println!("{answer}");
    } else {
        match exit {
            EXIT_OK => {
                println!("accepted as revision {revision}, synced by {} of 3", answer["copies"])
            }
            EXIT_INVALID => show::print_diagnostics(&findings(&answer), false),
            EXIT_CONFLICT => println!("not applied: the current revision is {revision}"),
            EXIT_UNKNOWN => println!("unknown outcome: {answer}; retry with --request-id {id}"),
            _ => println!("not applied: {answer}"),
        }
    }
    match (exit, args.wait) {
        (EXIT_OK, Some(secs)) => wait_until_applied(args, http, &list, revision, secs).await,
        _ => Ok(exit),
    }
}

fn findings(answer: &Value) -> Vec<Diagnostic> {
    let text = |v: &Value| v.as_str().unwrap_or_default().to_string();
    let list = answer["findings"].as_array().cloned().unwrap_or_default();
    list.iter().map(|f| Diagnostic::new(text(&f["place"]), text(&f["text"]))).collect()
}

/// Waits until all live members have applied a revision.
async fn wait_until_applied(
    args: &Args,
    http: &HttpClient,
    list: &[SocketAddr],
    revision: u64,
    secs: u64,
) -> Result<i32, Failure> {
    let deadline = Instant::now() + Duration::from_secs(secs);
    let status = ControllerRequest::new(Method::GET, STATUS);
    loop {
        let mut lagging = vec!["the members are unknown".to_string()];
        if let Ok(Answer { code: 200, body }) = status.send_to_any(http, list).await
            && body["cohort"]["epoch"].as_u64().is_some_and(|e| e > 0)
            && let Some(members) = body["cohort"]["members"].as_array()
        {
            lagging = members
                .iter()
                .filter(|m| m["obeys"].as_u64().unwrap_or(0) < revision)
                .map(|m| m["name"].as_str().unwrap_or("?").to_string())
                .collect();
            if lagging.is_empty() {
                if !args.json {
                    println!("obeyed by all {} members", members.len());
                }
                return Ok(EXIT_OK);
            }
        }
        if Instant::now() >= deadline {
            let text = format!("not applied in time by: {}", lagging.join(", "));
            return Err(Failure::new(text, EXIT_NOT_APPLIED_IN_TIME));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

async fn diff(args: &Args, http: &HttpClient, raw: &[u8]) -> Result<i32, Failure> {
    let (new, _) = parse_config(args, raw)?;
    let (revision, old) = get(args, http).await?;
    let (before, list) = (old.to_entries(), old.changes_to(&new));
    let rows: Vec<(&str, &str)> = list
        .iter()
        .map(|(key, val)| {
            let what = match (val, before.contains_key(key)) {
                (None, _) => "removed",
                (_, true) => "changed",
                (_, false) => "added",
            };
            (what, key.as_str())
        })
        .collect();
    if args.json {
        let rows: Vec<Value> =
            rows.iter().map(|(w, k)| json!({ "object": k, "change": w })).collect();
        println!("{}", json!({ "revision": revision, "changes": rows }));
    } else {
        for (what, key) in &rows {
            println!("{what} {key}");
        }
    }
    Ok(if rows.is_empty() { EXIT_OK } else { EXIT_DIFFERS })
}

async fn status(args: &Args, http: &HttpClient) -> Result<i32, Failure> {
    let request = ControllerRequest::new(Method::GET, STATUS);
    let mut answers = Vec::new();
    for address in controllers(args)? {
        let status = request.send_to(http, address).await.and_then(Answer::into_ok);
        answers.push(ControllerStatus { address, status });
    }
    let good = answers.iter().any(|answer| answer.status.is_ok());
    if args.json {
        let list: Vec<Value> = answers
            .iter()
            .map(|answer| match &answer.status {
                Ok(status) => json!({ "at": answer.address.to_string(), "status": status }),
                Err(error) => {
                    json!({ "at": answer.address.to_string(), "trouble": error.to_string() })
                }
            })
            .collect();
        println!("{}", Value::Array(list));
    } else {
        print!("{}", show::status_text(&answers));
    }
    Ok(if good { EXIT_OK } else { EXIT_FAILED })
}
