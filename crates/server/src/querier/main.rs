//! The querier, the data plane: accepts queries from callers and answers them from the leafs.
//!
//! The main thread is the membership thread ([`membership_thread`]). The
//! traffic threads ([`traffic_thread`]) have a listener and a query engine each.

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
use crate::messages::{ThreadChannels, TrafficInput};
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
    // Each traffic thread has a listener; all listeners share one address.
    let listeners = listen(settings.listen, settings.threads)?;
    let caller_addr = listeners[0].local_addr()?;
    let inner = TcpListener::bind(settings.inner)?;
    let readiness = match settings.check {
        Some(address) => Some(listen(address, 1)?.remove(0)),
        None => None,
    };
    println!("querier {} inner {} door {caller_addr}", settings.name, inner.local_addr()?);
    let clock = Clock::new();
    let (membership, inputs) = unbounded_channel();
    // Watch channels hold only the newest value, so they need no bound.
    let (ready_sender, ready) = watch::channel(false);
    let (view_sender, view) = watch::channel(Default::default());
    let (stop, stopped) = watch::channel(false);
    let (traffic, traffic_inputs): (Vec<_>, Vec<_>) =
        (0..settings.threads).map(|_| unbounded_channel()).unzip();
    let threads = ThreadChannels { traffic, membership, ready, view };
    let readiness =
        readiness.map(|listener| ReadinessListener { listener, threads: threads.clone() });
    let listeners_and_inputs = listeners.into_iter().zip(traffic_inputs).collect();
    let handles = start_traffic(&settings, clock, &threads, &stopped, listeners_and_inputs)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    let params = membership_thread::Params {
        settings,
        clock,
        listener: inner,
        readiness,
        traffic: threads.traffic,
        published: Published { ready: ready_sender, view: view_sender },
        inputs: threads.membership,
    };
    let end = local.block_on(&runtime, membership_thread::serve(params, inputs));
    let _ = stop.send(true);
    let joined = handles.into_iter().all(|thread| thread.join().is_ok());
    end?;
    if joined { Ok(()) } else { Err(QuerierError::ThreadFailed) }
}

/// Starts the traffic threads, each with a listener and the receiver of its inputs.
fn start_traffic(
    settings: &Settings,
    clock: Clock,
    threads: &ThreadChannels,
    stop: &watch::Receiver<bool>,
    listeners_and_inputs: Vec<(TcpListener, UnboundedReceiver<TrafficInput>)>,
) -> std::io::Result<Vec<JoinHandle<()>>> {
    let incarnation = nonce();
    let mut handles = Vec::new();
    for (index, (listener, inputs)) in listeners_and_inputs.into_iter().enumerate() {
        let params = traffic_thread::Params {
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
            thread_id: quota::thread_id(&settings.name, index as u32),
        };
        let thread = std::thread::Builder::new().name(format!("traffic-{index}"));
        handles.push(thread.spawn(move || traffic_thread::serve(params, inputs))?);
    }
    Ok(handles)
}
