//! A cluster of real processes on loopback, for the cluster's runner and the tests.
//! Test tools may start processes; the daemons never do.

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

/// Attempts to start a cluster: another may take a port between our look and our start.
const START_ATTEMPTS: u32 = 4;

/// Where the cluster's programs and files are.
#[derive(Clone)]
pub struct Layout {
    /// Folder of the built programs.
    pub bin: PathBuf,
    /// Folder of controller and querier, if it is another one.
    pub daemons: Option<PathBuf>,
    /// Folder for data and logs; it must be empty.
    pub dir: PathBuf,
    /// The deployment's files: `NAME.json` and `NAME.standins.json`.
    pub deploy: PathBuf,
    pub name: String,
    pub queriers: usize,
}

/// A running cluster. Dropping it kills its processes, and no others.
pub struct LocalCluster {
    /// Where its programs and files are.
    pub layout: Layout,
    /// The mock backends.
    pub backends: Process,
    /// By voter slot, then those without one.
    pub controllers: Vec<Process>,
    /// The queriers.
    pub queriers: Vec<Process>,
    /// The mock backends' listener.
    pub list: SocketAddr,
    /// The controllers' listeners for operators.
    pub operator_addrs: Vec<SocketAddr>,
    /// The queriers' listeners for callers.
    pub caller_addrs: Vec<SocketAddr>,
    /// Sends the requests.
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
    /// Starts everything and loads the deployment's configuration.
    pub async fn start(layout: Layout) -> Result<LocalCluster, LocalClusterError> {
        LocalCluster::start_with_relay(layout, async |_| Err(std::io::Error::other("no relay")))
            .await
    }

    /// Like `start`; the last querier reaches controllers, list and the other queriers
    /// only through addresses that `relay` gives for theirs, and is reached so.
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
        let conf =
            std::fs::read(&path).map_err(|source| LocalClusterError::File { path, source })?;
        cluster.change(Method::PUT, &conf, "first").await?;
        Ok(cluster)
    }

    /// All processes, in the order in which they are started.
    fn processes_mut(&mut self) -> impl Iterator<Item = &mut Process> {
        [&mut self.backends].into_iter().chain(&mut self.controllers).chain(&mut self.queriers)
    }

    /// From their next start on, processes know the voter at another inner address,
    /// and the voter itself listens there. Gives the address.
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

    /// Starts one more controller that is not told a voter slot; gives its number.
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

/// Starts all processes, or none.
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
    let texts: Vec<String> = seeds.iter().map(|a| a.to_string()).collect();
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
                ("inner", texts[i].clone()),
                ("seeds", texts.join(",")),
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
        let texts = addresses.map(|address| address.to_string());
        let args = [
            ("name", format!("q{i}")),
            ("fleet", fleet.clone()),
            ("zone", zones[i % zones.len()].to_string()),
            ("listen", caller_addrs[i].to_string()),
            ("inner", inners[i].to_string()),
            ("seeds", texts[..3].join(",")),
            ("list", texts[3].clone()),
            ("advertise", texts[4].clone()),
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

/// Ports that are free now, all different. Seeds must be known before the
/// controllers start, and a process that is started again wants its old port,
/// so port 0 is of no use: the system would hand such a port to anyone in
/// between. These lie below the range from which it hands out ports.
pub fn free_ports(n: usize) -> Result<Vec<u16>, LocalClusterError> {
    let mut random = grebepath_core::random::Random::new(grebepath_runtime::clock::nonce());
    let mut held = Vec::new();
    for _ in 0..10_000 {
        if held.len() == n {
            break;
        }
        let port = 10_000 + random.below(20_000) as u16;
        if let Ok(sock) = std::net::TcpListener::bind(("127.0.0.1", port)) {
            held.push((port, sock));
        }
    }
    let ports: Vec<u16> = held.iter().map(|(p, _)| *p).collect();
    if ports.len() == n { Ok(ports) } else { Err(LocalClusterError::NoPorts) }
}

/// Waits until a condition on the cluster holds: asks again as soon as the last
/// answer is in, for at most `wait`.
pub async fn until<F: Future<Output = bool>>(wait: Duration, mut ask: impl FnMut() -> F) -> bool {
    let end = Instant::now() + wait;
    while Instant::now() < end {
        if ask().await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}

/// The programs' folder when called from one of them, or from a test.
pub fn bin_dir(exe: &Path) -> PathBuf {
    let dir = exe.parent().unwrap_or(Path::new("."));
    if dir.ends_with("deps") {
        dir.parent().unwrap_or(dir).to_path_buf()
    } else {
        dir.to_path_buf()
    }
}
