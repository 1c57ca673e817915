//! A cluster of real processes on loopback, for the local cluster's runner and the tests.
//! Only test tools may start processes; the daemons never do.

pub mod error;
pub mod process;
mod requests;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use grebepath_runtime::http::client::HttpClient;
use hyper::Method;

use error::LocalClusterError;
use process::{Process, flags};

pub use requests::{request, text};

/// Attempts to start a cluster: another process may take a port between the check and the start.
const START_ATTEMPTS: u32 = 4;

/// Where the cluster's programs and files are.
#[derive(Clone)]
pub struct Layout {
    /// Folder of the built programs.
    pub bin: PathBuf,
    /// Folder of controller and querier, if it differs from `bin`.
    pub daemons: Option<PathBuf>,
    /// Folder for data and logs; it must be empty.
    pub dir: PathBuf,
    /// Folder of the deployments' files, `NAME.json` and `NAME.standins.json`.
    pub deploy: PathBuf,
    /// Name of the deployment.
    pub name: String,
    /// Number of queriers.
    pub queriers: usize,
}

/// A running cluster. Dropping it kills the processes that it started, and no others.
pub struct LocalCluster {
    /// Paths of its programs and files.
    pub layout: Layout,
    /// The process of the mock back ends.
    pub backends: Process,
    /// The controllers, by voter slot; then those without a slot.
    pub controllers: Vec<Process>,
    /// The querier processes.
    pub queriers: Vec<Process>,
    /// Address of the mock back ends' list and control listener.
    pub list: SocketAddr,
    /// Addresses of the controllers' listeners for operators.
    pub operator_addrs: Vec<SocketAddr>,
    /// Addresses of the queriers' listeners for callers.
    pub caller_addrs: Vec<SocketAddr>,
    /// The HTTP client.
    pub http: HttpClient,
}

impl Drop for LocalCluster {
    fn drop(&mut self) {
        for process in self.controllers.iter_mut().chain(&mut self.queriers) {
            process.kill();
        }
        self.backends.kill();
    }
}

impl LocalCluster {
    /// Starts all processes and loads the deployment's configuration.
    pub async fn start(layout: Layout) -> Result<LocalCluster, LocalClusterError> {
        LocalCluster::start_with_relay(layout, async |_| Err(std::io::Error::other("no relay")))
            .await
    }

    /// Like [`LocalCluster::start`], but the last querier connects to controllers and the list
    /// only through the addresses that `relay` returns for theirs, and advertises such an address
    /// to the other queriers.
    pub async fn start_with_relay(
        layout: Layout,
        mut relay: impl AsyncFnMut(SocketAddr) -> std::io::Result<SocketAddr>,
    ) -> Result<LocalCluster, LocalClusterError> {
        let mut attempt = 1;
        let cluster = loop {
            match start_processes(layout.clone(), &mut relay).await {
                Ok(cluster) => break cluster,
                Err(error) if attempt >= START_ATTEMPTS => return Err(error),
                Err(_) => attempt += 1,
            }
        };
        let path = layout.deploy.join(format!("{}.json", layout.name));
        let config =
            std::fs::read(&path).map_err(|source| LocalClusterError::File { path, source })?;
        cluster.change(Method::PUT, &config, "first").await?;
        Ok(cluster)
    }

    /// All processes, in the order in which they are started.
    fn processes_mut(&mut self) -> impl Iterator<Item = &mut Process> {
        [&mut self.backends].into_iter().chain(&mut self.controllers).chain(&mut self.queriers)
    }

    /// Changes the inner address of a voter in the command lines of all processes, with effect
    /// from their next start. Returns the new address.
    pub fn move_voter(&mut self, slot: usize) -> Result<SocketAddr, LocalClusterError> {
        let new = SocketAddr::from(([127, 0, 0, 1], free_ports(1)?[0]));
        let old = self.controllers[slot].argument("--inner")?;
        for process in self.controllers.iter_mut().chain(&mut self.queriers) {
            for i in 1..process.args.len() {
                let (flag, argument) = (&process.args[i - 1], &process.args[i]);
                if flag == "--seeds" || (flag == "--inner" && *argument == old) {
                    process.args[i] = argument.replace(&old, &new.to_string());
                }
            }
        }
        Ok(new)
    }

    /// Starts another controller without a voter slot. Returns its number.
    pub fn add_controller(&mut self, zone: &str) -> Result<usize, LocalClusterError> {
        let n = self.controllers.len();
        let ports = free_ports(2)?;
        let addr = |i: usize| SocketAddr::from(([127, 0, 0, 1], ports[i]));
        let args = [
            ("fleet", self.controllers[0].argument("--fleet")?),
            ("zone", zone.to_string()),
            ("listen", addr(0).to_string()),
            ("inner", addr(1).to_string()),
            ("seeds", self.controllers[0].argument("--seeds")?),
            ("data", self.layout.dir.join(format!("seat-{n}")).display().to_string()),
        ];
        let mut process = Process::controller(&self.layout, &format!("controller-{n}"), &args);
        process.start()?;
        self.controllers.push(process);
        self.operator_addrs.push(addr(0));
        Ok(n)
    }
}

/// Starts all processes; if one fails, those already started are killed.
async fn start_processes(
    layout: Layout,
    relay: &mut impl AsyncFnMut(SocketAddr) -> std::io::Result<SocketAddr>,
) -> Result<LocalCluster, LocalClusterError> {
    let _ = std::fs::remove_dir_all(&layout.dir);
    std::fs::create_dir_all(&layout.dir)?;
    let ports = free_ports(7 + 2 * layout.queriers)?;
    let addrs: Vec<SocketAddr> =
        ports.iter().map(|p| SocketAddr::from(([127, 0, 0, 1], *p))).collect();
    let (list, seeds, operator_addrs) = (addrs[0], &addrs[1..4], addrs[4..7].to_vec());
    let (caller_addrs, inners) = addrs[7..].split_at(layout.queriers);
    let address_texts: Vec<String> = seeds.iter().map(|a| a.to_string()).collect();
    let zones = grebepath_simulator::mock_backends::ZONES;
    let fleet = layout.dir.file_name().map_or("test".into(), |n| n.display().to_string());
    let spec = layout.deploy.join(format!("{}.standins.json", layout.name)).display().to_string();
    let args = [("spec", spec), ("listen", list.to_string())];
    let backends = Process::new(&layout, "backs", "mock-backends", flags(&["backs"], &args));
    let controllers = (0..seeds.len())
        .map(|i| {
            let args = [
                ("seat", i.to_string()),
                ("fleet", fleet.clone()),
                ("zone", zones[i].to_string()),
                ("listen", operator_addrs[i].to_string()),
                ("inner", address_texts[i].clone()),
                ("seeds", address_texts.join(",")),
                ("data", layout.dir.join(format!("seat-{i}")).display().to_string()),
            ];
            Process::controller(&layout, &format!("controller-{i}"), &args)
        })
        .collect();
    let mut queriers = Vec::new();
    for i in 0..layout.queriers {
        let mut addresses = [seeds[0], seeds[1], seeds[2], list, inners[i]];
        if i + 1 == layout.queriers {
            for address in &mut addresses {
                *address = relay(*address).await.unwrap_or(*address);
            }
        }
        let address_texts = addresses.map(|address| address.to_string());
        let args = [
            ("name", format!("q{i}")),
            ("fleet", fleet.clone()),
            ("zone", zones[i % zones.len()].to_string()),
            ("listen", caller_addrs[i].to_string()),
            ("inner", inners[i].to_string()),
            ("seeds", address_texts[..3].join(",")),
            ("list", address_texts[3].clone()),
            ("advertise", address_texts[4].clone()),
        ];
        queriers.push(Process::querier(&layout, &format!("querier-{i}"), &args));
    }
    let (http, caller_addrs) =
        (grebepath_runtime::http::client::HttpClient::new(16), caller_addrs.to_vec());
    let mut cluster = LocalCluster {
        layout,
        backends,
        controllers,
        queriers,
        list,
        operator_addrs,
        caller_addrs,
        http,
    };
    for process in cluster.processes_mut() {
        process.start()?;
    }
    Ok(cluster)
}

/// Returns distinct ports that are free now. Port 0 can't be used: the seeds must be known before
/// the controllers start, and a restarted process needs its former port, which the system could
/// assign to another process meanwhile. The returned ports lie below the system's ephemeral range.
pub fn free_ports(n: usize) -> Result<Vec<u16>, LocalClusterError> {
    let mut random = grebepath_core::random::Random::new(grebepath_runtime::clock::nonce());
    let mut bound_ports = Vec::new();
    for _ in 0..10_000 {
        if bound_ports.len() == n {
            break;
        }
        let port = 10_000 + random.below(20_000) as u16;
        if let Ok(socket) = std::net::TcpListener::bind(("127.0.0.1", port)) {
            bound_ports.push((port, socket));
        }
    }
    let ports: Vec<u16> = bound_ports.iter().map(|(p, _)| *p).collect();
    if ports.len() == n { Ok(ports) } else { Err(LocalClusterError::NoPorts) }
}

/// Waits until a condition on the cluster holds, for at most `wait`. Checks it again 20 ms after
/// each result. Returns whether it held.
pub async fn until<F: Future<Output = bool>>(
    wait: Duration,
    mut condition: impl FnMut() -> F,
) -> bool {
    let end = Instant::now() + wait;
    while Instant::now() < end {
        if condition().await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}

/// Returns the folder of the built programs, given the path of one of them or of a test.
pub fn bin_dir(exe: &Path) -> PathBuf {
    let dir = exe.parent().unwrap_or(Path::new("."));
    if dir.ends_with("deps") {
        dir.parent().unwrap_or(dir).to_path_buf()
    } else {
        dir.to_path_buf()
    }
}
