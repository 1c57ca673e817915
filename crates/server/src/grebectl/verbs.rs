//! What each word does.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use grebepath_core::config::types::Config;
use grebepath_core::config::{build, change, read, show as conf_show};
use grebepath_core::diagnostic::Diagnostic;
use grebepath_core::http_api::operator::{CONFIG, STATUS};
use grebepath_runtime::http::client::HttpClient;
use hyper::Method;
use serde_json::{Value, json};

use crate::cli::*;
use crate::net::{Ask, ask, one, reading};
use crate::show;

/// Why a verb ends early: a message and an exit code.
struct End(String, i32);

fn trouble(text: impl Into<String>) -> End {
    End(text.into(), EXIT_TROUBLE)
}

/// Runs a verb and gives the exit code.
pub async fn run(args: Args) -> i32 {
    let http = grebepath_runtime::http::client::HttpClient::new(1);
    match verb(&args, &http).await {
        Ok(code) => code,
        Err(End(text, code)) => {
            if !text.is_empty() {
                eprintln!("grebectl: {text}");
            }
            code
        }
    }
}

fn at(args: &Args) -> Result<Vec<SocketAddr>, End> {
    addresses(args).map_err(|e| End(e, EXIT_USAGE))
}

fn load(file: &str) -> Result<Vec<u8>, End> {
    let got = if file == "-" {
        let mut raw = Vec::new();
        std::io::Read::read_to_end(&mut std::io::stdin(), &mut raw).map(|_| raw)
    } else {
        std::fs::read(file)
    };
    got.map_err(|e| End(format!("{file}: {e}"), EXIT_USAGE))
}

fn checked(args: &Args, raw: &[u8]) -> Result<(Config, build::Built), End> {
    let got = read::whole(raw).and_then(|c| build::build(&c).map(|b| (c, b)));
    got.map_err(|all| {
        show::wrong(&all, args.json);
        End(String::new(), EXIT_WRONG)
    })
}

async fn verb(args: &Args, http: &HttpClient) -> Result<i32, End> {
    match &args.verb {
        Verb::Check { file } => {
            let (_, built) = checked(args, &load(file)?)?;
            if args.json {
                println!("{}", json!({ "searches": built.mappings.len() }));
            } else {
                println!("good: {} searches", built.mappings.len());
            }
            Ok(EXIT_OK)
        }
        Verb::Apply { file } => send(args, http, Method::PUT, load(file)?).await,
        Verb::Patch { file } => send(args, http, Method::PATCH, load(file)?).await,
        Verb::Drain { zone } => send(args, http, Method::PATCH, zone_patch(zone, "drained")).await,
        Verb::Undrain { zone } => send(args, http, Method::PATCH, zone_patch(zone, "open")).await,
        Verb::Get => {
            let (revision, conf) = get(args, http).await?;
            let val = conf_show::json(&conf);
            if args.json {
                println!("{}", json!({ "revision": revision, "config": val }));
            } else {
                eprintln!("revision {revision}");
                println!("{}", serde_json::to_string_pretty(&val).unwrap_or_default());
            }
            Ok(EXIT_OK)
        }
        Verb::Diff { file } => diff(args, http, &load(file)?).await,
        Verb::Status => status(args, http).await,
        Verb::Vouch { seat } => {
            let addr = seat.parse().map_err(|_| {
                End(format!("`{seat}` is not an IP address with a port"), EXIT_USAGE)
            })?;
            let what = Ask {
                method: Method::POST,
                path: "/v1/vouch".into(),
                body: Vec::new(),
                request: None,
                expect: None,
            };
            let (code, body) = one(http, addr, &what).await.map_err(trouble)?;
            if code != 200 {
                return Err(trouble(format!("status {code}: {body}")));
            }
            println!("vouched; `grebectl status` shows when its parts are formed");
            Ok(EXIT_OK)
        }
        Verb::Forget { member } => {
            let path = format!("/v1/members/{member}");
            let what =
                Ask { method: Method::DELETE, path, body: Vec::new(), request: None, expect: None };
            let (code, body) = ask(http, &at(args)?, &what).await.map_err(trouble)?;
            if code != 200 {
                return Err(trouble(format!("status {code}: {body}")));
            }
            println!("forgotten");
            Ok(EXIT_OK)
        }
        Verb::Explain { search, key, file } => {
            let built = match file {
                Some(file) => checked(args, &load(file)?)?.1,
                None => {
                    let (_, conf) = get(args, http).await?;
                    build::build(&conf)
                        .map_err(|_| trouble("the configuration in force does not build here"))?
                }
            };
            let Some(map) = built.mappings.get(search) else {
                let known: Vec<_> = built.mappings.keys().map(String::as_str).collect();
                let text = format!("no search `{search}`; known are {}", known.join(", "));
                return Err(trouble(text));
            };
            let plan = show::plan(map, key.as_deref());
            if args.json {
                println!("{plan}");
            } else {
                print!("{}", show::plan_text(&plan));
            }
            Ok(EXIT_OK)
        }
    }
}

fn zone_patch(zone: &str, state: &str) -> Vec<u8> {
    json!({ "zones": [{ "name": zone, "state": state }] }).to_string().into_bytes()
}

async fn get(args: &Args, http: &HttpClient) -> Result<(u64, Config), End> {
    let (code, body) = ask(http, &at(args)?, &reading(CONFIG)).await.map_err(trouble)?;
    if code != 200 {
        return Err(trouble(format!("status {code}: {body}")));
    }
    let conf = read::whole(body["config"].to_string().as_bytes())
        .map_err(|_| trouble("the configuration in force can't be read here"))?;
    Ok((body["revision"].as_u64().unwrap_or(0), conf))
}

async fn send(args: &Args, http: &HttpClient, method: Method, body: Vec<u8>) -> Result<i32, End> {
    let list = at(args)?;
    // Findings that need no controller are told without one.
    if method == Method::PUT {
        checked(args, &body)?;
    }
    let id = args.request.clone().unwrap_or_else(|| {
        format!(
            "ctl-{:016x}{:016x}",
            grebepath_runtime::clock::nonce(),
            grebepath_runtime::clock::nonce()
        )
    });
    let what = Ask {
        method,
        path: CONFIG.to_string(),
        body,
        request: Some(id.clone()),
        expect: args.expect,
    };
    let (code, answer) = ask(http, &list, &what)
        .await
        .map_err(|e| End(format!("{e}; ask again with --request-id {id}"), EXIT_UNKNOWN))?;
    let exit = match code {
        200 => EXIT_OK,
        422 | 400 => EXIT_WRONG,
        412 => EXIT_MOVED,
        503 => EXIT_TROUBLE,
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
            EXIT_WRONG => show::wrong(&findings(&answer), false),
            EXIT_MOVED => println!("not applied: the revision is {revision} now"),
            EXIT_UNKNOWN => println!("unknown: {answer}; ask again with --request-id {id}"),
            _ => println!("not applied: {answer}"),
        }
    }
    match (exit, args.wait) {
        (EXIT_OK, Some(secs)) => obeyed(args, http, &list, revision, secs).await,
        _ => Ok(exit),
    }
}

fn findings(answer: &Value) -> Vec<Diagnostic> {
    let text = |v: &Value| v.as_str().unwrap_or_default().to_string();
    let list = answer["findings"].as_array().cloned().unwrap_or_default();
    list.iter().map(|f| Diagnostic { place: text(&f["place"]), text: text(&f["text"]) }).collect()
}

/// Waits until every live member obeys a revision.
async fn obeyed(
    args: &Args,
    http: &HttpClient,
    list: &[SocketAddr],
    revision: u64,
    secs: u64,
) -> Result<i32, End> {
    let end = Instant::now() + Duration::from_secs(secs);
    loop {
        let mut late = vec!["the members are unknown".to_string()];
        if let Ok((200, body)) = ask(http, list, &reading(STATUS)).await
            && body["cohort"]["epoch"].as_u64().is_some_and(|e| e > 0)
            && let Some(members) = body["cohort"]["members"].as_array()
        {
            late = members
                .iter()
                .filter(|m| m["obeys"].as_u64().unwrap_or(0) < revision)
                .map(|m| m["name"].as_str().unwrap_or("?").to_string())
                .collect();
            if late.is_empty() {
                if !args.json {
                    println!("obeyed by all {} members", members.len());
                }
                return Ok(EXIT_OK);
            }
        }
        if Instant::now() >= end {
            return Err(End(format!("not obeyed in time by: {}", late.join(", ")), EXIT_WAIT));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

async fn diff(args: &Args, http: &HttpClient, raw: &[u8]) -> Result<i32, End> {
    let (new, _) = checked(args, raw)?;
    let (revision, old) = get(args, http).await?;
    let (before, list) = (change::entries(&old), change::changes(&old, &new));
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

async fn status(args: &Args, http: &HttpClient) -> Result<i32, End> {
    let mut seats = Vec::new();
    for addr in at(args)? {
        let got = match one(http, addr, &reading(STATUS)).await {
            Ok((200, body)) => Ok(body),
            Ok((code, body)) => Err(format!("status {code}: {body}")),
            Err(e) => Err(e),
        };
        seats.push((addr.to_string(), got));
    }
    let good = seats.iter().any(|(_, got)| got.is_ok());
    if args.json {
        let list: Vec<Value> = seats
            .iter()
            .map(|(addr, got)| match got {
                Ok(v) => json!({ "at": addr, "status": v }),
                Err(e) => json!({ "at": addr, "trouble": e }),
            })
            .collect();
        println!("{}", Value::Array(list));
    } else {
        print!("{}", show::status_text(&seats));
    }
    Ok(if good { EXIT_OK } else { EXIT_TROUBLE })
}
