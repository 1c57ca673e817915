//! The control plane. A controller stores a replica of each partition, may lead partitions, feeds
//! updates to the queriers and serves the operators' requests.
//!
//! It has three threads: the main thread runs the state machine ([`controller_thread`]), one writes
//! files ([`disk_thread`]) and one serves operators ([`operator_listener`]).

mod answer_counts;
mod confirmation;
mod controller_io;
mod controller_thread;
mod disk_thread;
mod disk_wait;
mod error;
mod messages;
mod metrics;
mod operation_request;
mod operator_listener;
mod resubmissions;
mod rollout_listener;
mod settings;
mod startup;

use std::io::Write;
use std::sync::mpsc;

use grebepath_core::identifiers::PartitionId;
use grebepath_core::protocol::replica::ReplicaCondition;
use grebepath_core::storage::record::ReplicaState;
use grebepath_runtime::clock::Clock;
use tracing::error;

use crate::disk_thread::DiskThread;
use crate::error::ControllerError;
use crate::settings::Settings;
use crate::startup::OpenDisk;

fn main() {
    grebepath_runtime::log_buffer::install();
    let settings = Settings::read_or_exit();
    if let Err(e) = run(settings) {
        error!("{e}");
        eprintln!("controller: {e}");
        std::process::exit(1);
    }
}

/// Prints a line for the process that started this one. Errors are ignored, since stdout may be
/// closed.
fn announce(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// A partition as read from disk: its id, condition, state and the size of its log in bytes.
type FoundReplica = (PartitionId, ReplicaCondition, ReplicaState, u64);

fn run(settings: Settings) -> Result<(), ControllerError> {
    let operators = grebepath_runtime::http::server::listen(settings.listen, 1)?.remove(0);
    let Some(OpenDisk { lock: _lock, disk }) = disk_wait::open_disk(&settings, &operators)? else {
        return Ok(());
    };
    // The address for other processes is opened only after the settings were validated and the disk
    // was read.
    let listener = std::net::TcpListener::bind(settings.inner)?;
    let name = settings.slot.map_or("-".to_string(), |slot| slot.to_string());
    let (inner, operator_address) = (listener.local_addr()?, operators.local_addr()?);
    announce(&format!("controller {name} inner {inner} door {operator_address}"));
    let clock = Clock::new();
    let (disk_jobs, jobs) = mpsc::channel();
    let (events, inputs) = tokio::sync::mpsc::unbounded_channel();
    let disk_thread = DiskThread::new(settings.data.clone(), disk.stores, events.clone());
    let disk_thread =
        std::thread::Builder::new().name("disk".into()).spawn(move || disk_thread.serve(jobs))?;
    let api = settings.platform_api;
    // Whether to stop. A watch channel holds one value, so it is bounded.
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let operators_thread = std::thread::Builder::new()
        .name("door".into())
        .spawn(move || operator_listener::serve(operators, events, api, stopped))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    let start = controller_thread::Start {
        settings,
        clock,
        voter_file: disk.voter_file,
        replicas: disk.replicas,
        failed: disk.failed,
        listener,
        disk: disk_jobs,
    };
    let result = local.block_on(&runtime, controller_thread::serve(start, inputs));
    let _ = stop.send(true);
    drop(local);
    drop(runtime);
    let joined = operators_thread.join().is_ok() && disk_thread.join().is_ok();
    result?;
    if joined { Ok(()) } else { Err(ControllerError::ThreadFailed) }
}
