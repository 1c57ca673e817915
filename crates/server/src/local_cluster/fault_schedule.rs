//! Scheduled faults for a cluster of real processes.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use testbed::local_cluster::LocalCluster;
use testbed::local_cluster::error::LocalClusterError;
use thiserror::Error;

/// Why a fault could not be injected.
#[derive(Debug, Error)]
pub enum FaultError {
    /// The fault does not begin with a time.
    #[error("{fault}: does not begin with a time in seconds")]
    NoTime {
        /// The fault's text on the command line.
        fault: String,
    },
    /// There is no fault with that name.
    #[error("unknown fault")]
    Unknown,
    /// The fault applies to the leader, but there is none.
    #[error("the configuration partition has no leader")]
    NoLeader,
    /// The argument is not the number of a process.
    #[error("expected a number or `owner`")]
    NotANumber,
    /// There is no process with that number.
    #[error("no such process")]
    NoProcess,
    /// A control command to the mock back ends is not valid JSON.
    #[error("{0}")]
    NotJson(#[from] serde_json::Error),
    /// The operation on the cluster failed.
    #[error(transparent)]
    Cluster(#[from] LocalClusterError),
    /// A fault of the schedule could not be injected.
    #[error("{kind} {argument}: {source}")]
    Failed {
        /// The fault's name.
        kind: String,
        /// The fault's argument.
        argument: String,
        /// The cause.
        source: Box<FaultError>,
    },
}

/// A fault and the time of its injection.
struct ScheduledFault {
    /// Seconds since the start of the schedule.
    at: f64,
    kind: String,
    argument: String,
}

fn parse(text: &str) -> Result<ScheduledFault, FaultError> {
    let mut cells = text.splitn(3, ':');
    let at = cells.next().and_then(|at| at.parse().ok());
    let at = at.ok_or_else(|| FaultError::NoTime { fault: text.to_string() })?;
    let kind = cells.next().unwrap_or_default().to_string();
    Ok(ScheduledFault { at, kind, argument: cells.next().unwrap_or_default().to_string() })
}

/// Injects all faults at their times.
pub async fn run(cluster: &mut LocalCluster, list: &[String]) -> Result<(), FaultError> {
    let mut all = list.iter().map(|text| parse(text)).collect::<Result<Vec<_>, _>>()?;
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    let begun = Instant::now();
    for (number, fault) in all.into_iter().enumerate() {
        let at = begun + Duration::from_secs_f64(fault.at);
        tokio::time::sleep_until(at.into()).await;
        eprintln!("{:>7.2} s {} {}", begun.elapsed().as_secs_f64(), fault.kind, fault.argument);
        if let Err(error) = inject(cluster, &fault, number).await {
            let ScheduledFault { kind, argument, .. } = fault;
            return Err(FaultError::Failed { kind, argument, source: Box::new(error) });
        }
    }
    Ok(())
}

async fn inject(
    cluster: &mut LocalCluster,
    fault: &ScheduledFault,
    number: usize,
) -> Result<(), FaultError> {
    match fault.kind.as_str() {
        "drain" | "undrain" => {
            let state = if fault.kind == "drain" { "drained" } else { "open" };
            let val = json!({ "zones": [{ "name": fault.argument, "state": state }] });
            cluster.patch(&val, &format!("trouble-{number}")).await?;
            return Ok(());
        }
        "leafs" => {
            let val: Value = serde_json::from_str(&fault.argument)?;
            cluster.control_backends(val).await?;
            return Ok(());
        }
        _ => {}
    }
    let (verb, kind) = fault.kind.split_once('-').ok_or(FaultError::Unknown)?;
    let at = if fault.argument == "owner" {
        cluster.config_leader().await.ok_or(FaultError::NoLeader)?
    } else {
        fault.argument.parse::<usize>().map_err(|_| FaultError::NotANumber)?
    };
    let list = if kind == "querier" { &mut cluster.queriers } else { &mut cluster.controllers };
    let process = list.get_mut(at).ok_or(FaultError::NoProcess)?;
    match verb {
        "kill" => process.kill(),
        "start" => process.start()?,
        "stop" => process.signal("STOP")?,
        "cont" => process.signal("CONT")?,
        "term" => process.signal("TERM")?,
        _ => return Err(FaultError::Unknown),
    }
    Ok(())
}
