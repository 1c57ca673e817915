//! The local cluster's runner: starts a cluster of real processes on loopback, loads a
//! deployment, runs its callers, injects faults and prints a report.

mod cli;
mod fault_schedule;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use grebepath_simulator::spec;
use serde_json::{Value, json};
use testbed::callers::{CallerStatistics, poll_readiness, report, run_load};
use testbed::local_cluster;
use testbed::local_cluster::error::LocalClusterError;
use testbed::local_cluster::{Layout, LocalCluster};

fn main() {
    let args = cli::read();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return fail(&e.to_string()),
    };
    let local = tokio::task::LocalSet::new();
    match local.block_on(&runtime, run(args)) {
        Ok(true) => {}
        Ok(false) => std::process::exit(1),
        Err(e) => fail(&e.to_string()),
    }
}

fn fail(text: &str) {
    eprintln!("local-cluster: {text}");
    std::process::exit(1);
}

async fn run(args: cli::Args) -> Result<bool, Box<dyn std::error::Error>> {
    let exe = std::env::current_exe()?;
    let layout = Layout {
        bin: local_cluster::bin_dir(&exe),
        daemons: None,
        dir: args.dir.clone().into(),
        deploy: args.deploy.clone().into(),
        name: args.name.clone(),
        queriers: args.queriers,
    };
    let spec = spec::read(&format!("{}/{}.standins.json", args.deploy, args.name))
        .map_err(|e| e.to_string())?;
    let begun = Instant::now();
    let mut cluster = LocalCluster::start(layout).await?;
    for i in 0..cluster.queriers.len() {
        if !local_cluster::until(Duration::from_secs(15), || cluster.is_ready(i)).await {
            let text = format!("querier {i} did not become ready; see its log in {}", args.dir);
            return Err(text.into());
        }
    }
    let operator_addrs: Vec<String> =
        cluster.operator_addrs.iter().map(|d| d.to_string()).collect();
    eprintln!("cluster is ready after {} ms", begun.elapsed().as_millis());
    eprintln!("  operators:  export GREBE_AT={}", operator_addrs.join(","));
    for (i, caller_addr) in cluster.caller_addrs.iter().enumerate() {
        eprintln!("  callers, q{i}: http://{caller_addr}/v1/search/{{search}}");
    }
    eprintln!("  back ends:  http://{}", cluster.list);
    if args.stay {
        eprintln!("running until interrupted");
        grebepath_runtime::stop::requested().await;
        return Ok(true);
    }
    let statistics = Rc::new(RefCell::new(CallerStatistics::default()));
    let end_time = Instant::now() + Duration::from_secs(args.seconds);
    let ready = Rc::new(RefCell::new(cluster.caller_addrs.clone()));
    let readiness_polls = poll_readiness(
        grebepath_runtime::http::client::HttpClient::new(2),
        cluster.caller_addrs.clone(),
        ready.clone(),
        end_time,
    );
    tokio::task::spawn_local(readiness_polls);
    let http = grebepath_runtime::http::client::HttpClient::new(128);
    let mut loads = Vec::new();
    for (i, kind) in spec.kinds.iter().enumerate() {
        let seed = args.seed.wrapping_add(i as u64);
        let task = run_load(
            http.clone(),
            kind.clone(),
            args.factor,
            ready.clone(),
            statistics.clone(),
            seed,
            end_time,
        );
        loads.push(tokio::task::spawn_local(task));
    }
    fault_schedule::run(&mut cluster, &args.faults).await?;
    for task in loads {
        task.await?;
    }
    // Every call has ended, so the statistics are final.
    let statistics = statistics.take();
    let out = summary(&cluster, &statistics).await?;
    println!("{}", serde_json::to_string_pretty(&out).unwrap_or_default());
    Ok(out["answers"]["violations"] == 0)
}

/// Returns the callers' report, the leafs' state and the queriers' metrics as JSON.
async fn summary(
    cluster: &LocalCluster,
    statistics: &CallerStatistics,
) -> Result<Value, LocalClusterError> {
    let runs = cluster.query_backends("/runs").await?;
    let state = cluster.query_backends("/state").await?;
    let leafs = state["leafs"].as_array().cloned().unwrap_or_default();
    let worst = leafs.iter().max_by_key(|l| l["worst_pct"].as_u64());
    let sum = |key: &str| leafs.iter().filter_map(|l| l[key].as_u64()).sum::<u64>();
    let mut counts = serde_json::Map::new();
    for name in [
        "grebe_first_dispatches_total",
        "grebe_second_tries_total",
        "grebe_second_tries_denied_total",
    ] {
        let mut n = 0;
        for (i, caller_addr) in cluster.caller_addrs.iter().enumerate() {
            if cluster.queriers[i].child.is_some() {
                n += cluster.metric(*caller_addr, name).await.unwrap_or(0);
            }
        }
        counts.insert(name.to_string(), json!(n));
    }
    let mut bounces = serde_json::Map::new();
    for (i, caller_addr) in cluster.caller_addrs.iter().enumerate() {
        let n = cluster.metric(*caller_addr, "grebe_bounces_total").await;
        bounces.insert(cluster.queriers[i].name.clone(), json!(n));
    }
    Ok(json!({
        "bounces": bounces,
        "answers": report(statistics, runs.as_array().map_or(&[], Vec::as_slice)),
        "worst_leaf": worst.map(|l| json!({ "leaf": l["leaf"], "pct_of_bears": l["worst_pct"] })),
        "misdirected": sum("misdirected"), "changed_questions": sum("changed"),
        "queriers": counts,
    }))
}
