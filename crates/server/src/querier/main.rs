//! The data plane: takes callers' questions and answers them from the leafs.
//!
//! The main thread is the membership thread ([`membership_thread`]); beside it run the
//! traffic threads ([`traffic_thread`]), each with a listener and a query engine.

mod caller_listener;
mod error;
mod leaf_client;
mod leaf_list;
mod membership_io;
mod membership_thread;
mod messages;
mod metrics;
mod settings;
mod traffic_thread;

use std::net::TcpListener;
use std::thread::JoinHandle;

use grebepath_core::query::quota;
use grebepath_runtime::clock::{Clock, nonce};
use grebepath_runtime::http::server::listen;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::sync::watch;
use tracing::error;

use crate::caller_listener::ReadinessListener;
use crate::error::QuerierError;
use crate::membership_io::Published;
use crate::messages::{Threads, TrafficInput};
use crate::settings::Settings;

fn main() {
    grebepath_runtime::log_buffer::install();
    let settings = Settings::read_or_exit();
    if let Err(e) = run(settings) {
        error!("{e}");
        eprintln!("querier: {e}");
        std::process::exit(1);
    }
}

fn run(settings: Settings) -> Result<(), QuerierError> {
    // One listener for each traffic thread, all on one address.
    let listeners = listen(settings.listen, settings.threads)?;
    let door = listeners[0].local_addr()?;
    let inner = TcpListener::bind(settings.inner)?;
    let readiness = match settings.check {
        Some(address) => Some(listen(address, 1)?.remove(0)),
        None => None,
    };
    println!("querier {} inner {} door {door}", settings.name, inner.local_addr()?);
    let clock = Clock::new();
    let (membership, inputs) = unbounded_channel();
    // These hold the newest value alone; they never fill up.
    let (ready_sender, ready) = watch::channel(false);
    let (view_sender, view) = watch::channel(Default::default());
    let (stop, stopped) = watch::channel(false);
    let (traffic, traffic_inputs): (Vec<_>, Vec<_>) =
        (0..settings.threads).map(|_| unbounded_channel()).unzip();
    let threads = Threads { traffic, membership, ready, view };
    let readiness =
        readiness.map(|listener| ReadinessListener { listener, threads: threads.clone() });
    let ends = listeners.into_iter().zip(traffic_inputs).collect();
    let joins = start_traffic(&settings, clock, &threads, &stopped, ends)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    let start = membership_thread::Start {
        settings,
        clock,
        listener: inner,
        readiness,
        traffic: threads.traffic,
        published: Published { ready: ready_sender, view: view_sender },
        inputs: threads.membership,
    };
    let end = local.block_on(&runtime, membership_thread::serve(start, inputs));
    let _ = stop.send(true);
    let joined = joins.into_iter().all(|thread| thread.join().is_ok());
    end?;
    if joined { Ok(()) } else { Err(QuerierError::ThreadFailed) }
}

/// Starts the traffic threads, each with a listener and the end of its channel.
fn start_traffic(
    settings: &Settings,
    clock: Clock,
    threads: &Threads,
    stop: &watch::Receiver<bool>,
    ends: Vec<(TcpListener, UnboundedReceiver<TrafficInput>)>,
) -> std::io::Result<Vec<JoinHandle<()>>> {
    let incarnation = nonce();
    let mut joins = Vec::new();
    for (index, (listener, inputs)) in ends.into_iter().enumerate() {
        let start = traffic_thread::Start {
            name: format!("{}-{index}-{:08x}", settings.name, incarnation as u32),
            zone: settings.zone.clone(),
            seed: incarnation ^ index as u64,
            clock,
            listener,
            inputs: threads.traffic[index].clone(),
            threads: threads.clone(),
            stop: stop.clone(),
            platform_api: settings.platform_api,
            retry_rate: settings.retry_rate,
            exposure_limit: settings.exposure_limit,
            slot: quota::thread_id(&settings.name, index as u32),
        };
        let thread = std::thread::Builder::new().name(format!("traffic-{index}"));
        joins.push(thread.spawn(move || traffic_thread::serve(start, inputs))?);
    }
    Ok(joins)
}
