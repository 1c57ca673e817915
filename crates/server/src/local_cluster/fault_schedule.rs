//! Faults for a cluster of real processes, by the clock.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use testbed::local_cluster::LocalCluster;
use testbed::local_cluster::error::LocalClusterError;
use thiserror::Error;

/// Why a fault could not be brought about.
#[derive(Debug, Error)]
pub enum FaultError {
    /// It does not say when.
    #[error("{fault}: begins with no time in seconds")]
    NoTime {
        /// The fault as it was given.
        fault: String,
    },
    /// There is no fault of that name.
    #[error("unknown word")]
    Unknown,
    /// The leader is meant, and there is none.
    #[error("the configuration has no owner")]
    NoLeader,
    /// The process is not named by its number.
    #[error("expected a number or `owner`")]
    NotANumber,
    /// There is no process of that number.
    #[error("no such process")]
    NoProcess,
    /// An order to the mock backends can't be read.
    #[error("{0}")]
    NotJson(#[from] serde_json::Error),
    /// The cluster did not do it.
    #[error(transparent)]
    Cluster(#[from] LocalClusterError),
    /// One of the schedule's faults failed.
    #[error("{kind} {argument}: {source}")]
    Failed {
        /// What was to happen.
        kind: String,
        /// To whom.
        argument: String,
        /// Why it did not.
        source: Box<FaultError>,
    },
}

/// A fault and its time.
struct ScheduledFault {
    /// Seconds after the schedule's beginning.
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

/// Brings all faults about, each at its time.
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
