//! The data plane: takes callers' questions and answers them from the leafs.

mod control;
mod door;
mod leafs;
mod metrics;
mod params;
mod traffic;

use tracing::error;

fn main() {
    grebepath_runtime::log_buffer::install();
    let p = params::read();
    if let Err(e) = run(p) {
        error!("{e}");
        eprintln!("querier: {e}");
        std::process::exit(1);
    }
}

fn run(p: params::Params) -> Result<(), std::io::Error> {
    // One listener for each traffic thread, all on one address.
    let listeners = grebepath_runtime::http::server::listen(p.listen, p.threads)?;
    let addr = listeners[0].local_addr()?;
    let inner = std::net::TcpListener::bind(p.inner)?;
    let check = match p.check {
        Some(addr) => Some(grebepath_runtime::http::server::listen(addr, 1)?.remove(0)),
        None => None,
    };
    println!("querier {} inner {} door {addr}", p.name, inner.local_addr()?);
    let clock = grebepath_runtime::clock::Clock::new();
    let life = grebepath_runtime::clock::nonce();
    let (tx, rx) = tokio::sync::mpsc::unbounded_channel();
    let (ready_tx, ready_rx) = tokio::sync::watch::channel(false);
    let (view_tx, view_rx) = tokio::sync::watch::channel(Default::default());
    let (stop_tx, stop_rx) = tokio::sync::watch::channel(false);
    let mut desks = Vec::new();
    let mut ends = Vec::new();
    for _ in 0..p.threads {
        let (work_tx, work_rx) = tokio::sync::mpsc::unbounded_channel();
        desks.push(work_tx);
        ends.push(work_rx);
    }
    let ready = ready_rx.clone();
    let all =
        door::All { desks: desks.clone(), control: tx.clone(), ready: ready_rx, view: view_rx };
    let checks = check.map(|listener| (listener, ready, all.clone()));
    let mut threads = Vec::new();
    for (i, (listener, rx)) in listeners.into_iter().zip(ends).enumerate() {
        let setup = traffic::Setup {
            name: format!("{}-{i}-{:08x}", p.name, life as u32),
            zone: p.zone.clone(),
            seed: life ^ i as u64,
            clock,
            listener,
            here: desks[i].clone(),
            all: all.clone(),
            control: tx.clone(),
            stop: stop_rx.clone(),
            dialect: p.dialect,
            rate: p.rate,
            slot: grebepath_core::query::quota::slot(&p.name, i as u32),
        };
        threads.push(
            std::thread::Builder::new()
                .name(format!("traffic-{i}"))
                .spawn(move || traffic::serve(setup, rx))?,
        );
    }
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    let end = local.block_on(
        &rt,
        control::serve(p, clock, (inner, checks), desks, (ready_tx, view_tx), tx, rx),
    );
    let _ = stop_tx.send(true);
    let joined = threads.into_iter().all(|t| t.join().is_ok());
    end.and(if joined { Ok(()) } else { Err(std::io::Error::other("a thread failed")) })
}
