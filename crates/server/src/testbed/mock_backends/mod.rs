//! Mock back ends in one process: leafs, each with a port, and the platform's list.
//! The leafs log what they ran, for the check of the callers' answers.

mod leaf;
mod leaf_server;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use grebepath_core::random::Random;
use grebepath_simulator::spec::{Service, Spec};
use serde_json::{Value, json};
use tokio::net::TcpListener;

pub use leaf::{Leaf, Mode, Run};

/// The zones of the mock leafs' machines.
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// Attempts to bind an address, with a pause between them: the port of a killed leaf is released
/// after a delay.
const BIND_ATTEMPTS: u32 = 41;
/// The pause between two attempts to bind an address.
const BIND_PAUSE: Duration = Duration::from_millis(25);

/// All mock back ends of the process.
pub struct MockBackends {
    /// Leafs by name, including stopped ones.
    pub leafs: BTreeMap<String, Rc<RefCell<Leaf>>>,
    /// Log of the requests that the leafs ran.
    pub runs: Rc<RefCell<Vec<Run>>>,
    /// States of the list, each with the time from which the list shows it.
    published: Vec<(Instant, Value)>,
    /// Delay after which the list shows a change.
    lag: Duration,
    /// Fault of the list, if any: `empty`, `garbage` or `dead`.
    pub list_mode: Option<String>,
    random: Rc<RefCell<Random>>,
    /// When the process started.
    pub started_at: Instant,
    next_leaf: u64,
}

impl MockBackends {
    /// Starts all leafs of a spec with full capacity, without slow start.
    pub async fn start(spec: &Spec, seed: u64) -> std::io::Result<Rc<RefCell<MockBackends>>> {
        let backends = Rc::new(RefCell::new(MockBackends {
            leafs: BTreeMap::new(),
            runs: Rc::default(),
            published: Vec::new(),
            lag: Duration::from_millis(spec.list_lag_ms),
            list_mode: None,
            random: Rc::new(RefCell::new(Random::new(seed))),
            started_at: Instant::now(),
            next_leaf: 1,
        }));
        for service in &spec.services {
            for i in 0..service.leafs {
                let zone = ZONES[i % ZONES.len()];
                let address = SocketAddr::from(([127, 0, 0, 1], 0));
                let warm = Duration::from_millis(service.slow_start_ms);
                start_leaf(&backends, service.clone(), zone, address, warm).await?;
            }
        }
        let now = Instant::now();
        let list = backends.borrow().current_list();
        backends.borrow_mut().published.push((now, list));
        Ok(backends)
    }

    /// Returns the list of the current leafs.
    fn current_list(&self) -> Value {
        let leafs: Vec<Value> = self
            .leafs
            .values()
            .filter(|leaf| leaf.borrow().serving_task.is_some())
            .map(|leaf| {
                let leaf = leaf.borrow();
                let mut entry = json!({
                    "leaf": leaf.name, "service": leaf.service.name,
                    "addr": leaf.addr.to_string(),
                    "labels": { "zone": leaf.zone, "cut": leaf.service.index_version,
                                "state": if leaf.leaving { "leaving" } else { "ready" } },
                });
                if !leaf.version.is_empty() {
                    entry["labels"]["version"] = json!(leaf.version);
                }
                entry
            })
            .collect();
        json!({ "leafs": leafs })
    }

    /// Records a change of the leafs, which the list shows after the delay.
    pub fn publish_change(&mut self) {
        let at = Instant::now() + self.lag;
        let list = self.current_list();
        self.published.push((at, list));
    }

    /// Returns the list as the platform shows it now.
    pub fn published_list(&mut self) -> Value {
        let now = Instant::now();
        while self.published.len() > 1 && self.published[1].0 <= now {
            self.published.remove(0);
        }
        self.published.first().map_or(json!({ "leafs": [] }), |state| state.1.clone())
    }
}

/// Starts a leaf whose age is `age`. Returns its name.
pub async fn start_leaf(
    backends: &Rc<RefCell<MockBackends>>,
    service: Service,
    zone: &str,
    address: SocketAddr,
    age: Duration,
) -> std::io::Result<String> {
    let listener = bind(address).await?;
    let addr = listener.local_addr()?;
    let mut all = backends.borrow_mut();
    let name = format!("{}.{}", service.name, all.next_leaf);
    all.next_leaf += 1;
    let now = Instant::now();
    let leaf = Rc::new(RefCell::new(Leaf {
        name: name.clone(),
        service,
        addr,
        zone: zone.to_string(),
        version: String::new(),
        mode: Mode::Good,
        leaving: false,
        reports_leaving: true,
        started_at: now.checked_sub(age).unwrap_or(now),
        in_flight: 0,
        peak_load_pct: 0,
        run_count: 0,
        misdirected: 0,
        misdirected_work: 0,
        altered_queries: 0,
        postmark: None,
        serving_task: None,
        draining_since: None,
        last_work_after_drain_ms: 0,
    }));
    let (runs, random) = (all.runs.clone(), all.random.clone());
    let serving = leaf_server::serve(listener, leaf.clone(), runs, random, all.started_at);
    let task = tokio::task::spawn_local(serving);
    leaf.borrow_mut().serving_task = Some(task.abort_handle());
    all.leafs.insert(name.clone(), leaf);
    Ok(name)
}

/// Binds an address, with retries for about one second.
async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let mut attempts = 1;
    loop {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        match socket.bind(address).and_then(|()| socket.listen(1024)) {
            Ok(listener) => return Ok(listener),
            Err(error) if attempts >= BIND_ATTEMPTS => return Err(error),
            Err(_) => attempts += 1,
        }
        tokio::time::sleep(BIND_PAUSE).await;
    }
}
