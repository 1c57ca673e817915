//! The control plane: keeps a seat's copies of every part, owns some of them,
//! feeds the queriers and takes the operators' requests.

mod disk;
mod door;
mod error;
mod metrics;
mod owner;
mod params;

use std::sync::mpsc;

use grebepath_core::identifiers::{PartitionId, partitions};
use grebepath_core::protocol::message::ReplicaCondition;
use grebepath_core::storage::reader::Found;
use grebepath_core::storage::record::ReplicaState;
use grebepath_core::storage::voter_file::begin;
use grebepath_runtime::disk::data_folder;
use grebepath_runtime::disk::partition_store::{self, PartitionStore};
use tracing::{error, warn};

use crate::error::ControllerError;

fn main() {
    grebepath_runtime::log_buffer::install();
    let p = params::read();
    if let Err(e) = run(p) {
        error!("{e}");
        eprintln!("controller: {e}");
        std::process::exit(1);
    }
}

/// A part as found on disk, ready for the core.
type FoundPart = (PartitionId, ReplicaCondition, ReplicaState, u64);

fn run(p: params::Params) -> Result<(), ControllerError> {
    let _lock = data_folder::lock(&p.data)?;
    params::check_seat(&p)?;
    let roll = data_folder::read_voter_file(&p.data)?;
    let nonce = grebepath_runtime::clock::nonce();
    let mut stores: Vec<PartitionStore> = Vec::new();
    let mut found: Vec<FoundPart> = Vec::new();
    let mut sick: Vec<(PartitionId, String)> = Vec::new();
    let bare = partitions().all(|part| partition_store::is_blank(&p.data, part));
    let (roll, clear) = begin(roll, &params::start(&p), bare, nonce);
    for part in partitions() {
        let (mut store, got) = PartitionStore::open(&p.data, part)?;
        match got {
            _ if clear => {
                warn!(%part, "the files are of a seat given to another; set aside");
                store.set_aside()?;
                found.push((part, ReplicaCondition::Empty, ReplicaState::default(), 0));
            }
            Found::Empty => found.push((part, ReplicaCondition::Empty, ReplicaState::default(), 0)),
            Found::Damaged(why) => {
                warn!(%part, why, "the files are damaged and set aside; relearning");
                found.push((part, ReplicaCondition::Damaged, ReplicaState::default(), 0));
            }
            Found::Good { copy, torn, .. } => {
                if torn {
                    warn!(%part, "a torn tail of the log was dropped");
                }
                if let Err(e) = store.write_snapshot(&copy) {
                    sick.push((part, e.to_string()));
                }
                found.push((part, ReplicaCondition::Voting, copy, 0));
            }
        }
        stores.push(store);
    }
    // Nothing may be said as who we are before that is on disk.
    data_folder::write_voter_file(&p.data, &roll)?;
    // All params are good and the disk was read: now ports are opened.
    let inner = std::net::TcpListener::bind(p.inner)?;
    let door = grebepath_runtime::http::server::listen(p.listen, 1)?.remove(0);
    let name = p.seat.map_or("-".to_string(), |s| s.to_string());
    println!("controller {name} inner {} door {}", inner.local_addr()?, door.local_addr()?);
    let clock = grebepath_runtime::clock::Clock::new();
    let data = p.data.clone();
    let (disk_tx, disk_rx) = mpsc::channel();
    let (tx, rx) = tokio::sync::mpsc::unbounded_channel();
    let disk_events = tx.clone();
    let disk_thread = std::thread::Builder::new()
        .name("disk".into())
        .spawn(move || disk::serve(&data, stores, disk_rx, disk_events))?;
    let door_tx = tx.clone();
    let dialect = p.dialect;
    let (stop_tx, stop_rx) = tokio::sync::watch::channel(false);
    let door_thread = std::thread::Builder::new()
        .name("door".into())
        .spawn(move || door::serve(door, door_tx, dialect, stop_rx))?;
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    let end =
        local.block_on(&rt, owner::serve(p, clock, roll, found, sick, inner, disk_tx, tx, rx));
    let _ = stop_tx.send(true);
    drop(local);
    drop(rt);
    let joined = door_thread.join().is_ok() && disk_thread.join().is_ok();
    end?;
    if joined { Ok(()) } else { Err(ControllerError::ThreadFailed) }
}
