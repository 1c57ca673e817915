//! A fleet of real processes on loopback, for the fleet runner and the tests.
//! Test tools may start processes; the daemons never do.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use grebepath_runtime::http::client::HttpClient;
use http_body_util::Full;
use hyper::{Method, Request};
use serde_json::{Value, json};

/// Where the fleet's programs and files are.
#[derive(Clone)]
pub struct Layout {
    /// Folder of the built programs.
    pub bin: PathBuf,
    /// Folder for data and logs; it must be empty.
    pub dir: PathBuf,
    /// The deployment's files: `NAME.json` and `NAME.standins.json`.
    pub deploy: PathBuf,
    pub name: String,
    pub queriers: usize,
}

/// One process of the fleet.
pub struct Proc {
    pub name: String,
    args: Vec<String>,
    program: PathBuf,
    pub child: Option<Child>,
    /// What it printed when it was ready.
    pub first: String,
    log: PathBuf,
}

/// A running fleet. Dropping it kills its processes, and no others.
pub struct Fleet {
    pub layout: Layout,
    pub backs: Proc,
    pub seats: Vec<Proc>,
    pub queriers: Vec<Proc>,
    pub list: SocketAddr,
    /// Operators' doors of the controllers.
    pub doors: Vec<SocketAddr>,
    /// Callers' doors of the queriers.
    pub fronts: Vec<SocketAddr>,
    pub http: HttpClient,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for p in self.seats.iter_mut().chain(&mut self.queriers).chain([&mut self.backs]) {
            kill(p);
        }
    }
}

fn proc(layout: &Layout, name: &str, program: &str, args: &[String]) -> Proc {
    Proc {
        name: name.to_string(),
        args: args.to_vec(),
        program: layout.bin.join(program),
        child: None,
        first: String::new(),
        log: layout.dir.join(format!("{name}.log")),
    }
}

/// Starts a process and waits for the line that says it is up.
pub fn start(p: &mut Proc) -> Result<(), String> {
    let log = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(&p.log)
        .map_err(|e| format!("{}: {e}", p.log.display()))?;
    let mut child = Command::new(&p.program)
        .args(&p.args)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(log)
        .spawn()
        .map_err(|e| format!("{}: {e}", p.program.display()))?;
    let out = child.stdout.take().ok_or("no stdout")?;
    let mut line = String::new();
    // An end without a line means that the process has ended.
    BufReader::new(out).read_line(&mut line).map_err(|e| e.to_string())?;
    p.child = Some(child);
    if line.is_empty() {
        let text = std::fs::read_to_string(&p.log).unwrap_or_default();
        return Err(format!("{} did not come up: {text}", p.name));
    }
    p.first = line;
    Ok(())
}

/// From their next start on, processes know the seat at another inner address,
/// and the seat itself listens there. Gives the address.
pub fn move_seat(f: &mut Fleet, seat: usize) -> Result<SocketAddr, String> {
    let new = SocketAddr::from(([127, 0, 0, 1], free_ports(1)?[0]));
    let at = f.seats[seat].args.iter().position(|a| a == "--inner").ok_or("no --inner")? + 1;
    let old = f.seats[seat].args[at].clone();
    for p in f.seats.iter_mut().chain(&mut f.queriers) {
        for i in 1..p.args.len() {
            if p.args[i - 1] == "--seeds" || (p.args[i - 1] == "--inner" && p.args[i] == old) {
                p.args[i] = p.args[i].replace(&old, &new.to_string());
            }
        }
    }
    Ok(new)
}

/// Lets a process write no file beyond so many blocks of 512 bytes, from its
/// next start on: its disk then behaves as a full one. `None` lifts that.
pub fn limit_files(p: &mut Proc, blocks: Option<u32>) {
    const ASIDE: &str = "sh";
    if p.program.as_os_str() == ASIDE {
        p.program = PathBuf::from(p.args[2].clone());
        p.args.drain(..3);
    }
    if let Some(n) = blocks {
        let script = format!("trap '' XFSZ; ulimit -f {n}; exec \"$0\" \"$@\"");
        let program = std::mem::replace(&mut p.program, ASIDE.into()).display().to_string();
        p.args.splice(0..0, ["-c".to_string(), script, program]);
    }
}

/// Kills a process at once, as `kill -9` does.
pub fn kill(p: &mut Proc) {
    if let Some(mut child) = p.child.take() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Sends a signal by name (`TERM`, `STOP`, `CONT`) to a process of ours.
pub fn signal(p: &Proc, name: &str) -> Result<(), String> {
    let Some(child) = &p.child else { return Err(format!("{} is not running", p.name)) };
    let done = Command::new("kill")
        .args([format!("-{name}"), child.id().to_string()])
        .status()
        .map_err(|e| e.to_string())?;
    if done.success() { Ok(()) } else { Err(format!("kill -{name} failed")) }
}

/// Waits for a process to end; gives its exit code.
pub fn ended(p: &mut Proc, wait: Duration) -> Option<i32> {
    let end = Instant::now() + wait;
    let child = p.child.as_mut()?;
    loop {
        if let Ok(Some(status)) = child.try_wait() {
            p.child = None;
            return status.code();
        }
        if Instant::now() >= end {
            return None;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Ports that are free now, all different. Seeds must be known before the
/// controllers start, and a process that is started again wants its old port,
/// so port 0 is of no use: the system would hand such a port to anyone in
/// between. These lie below the range from which it hands out ports.
pub fn free_ports(n: usize) -> Result<Vec<u16>, String> {
    let mut luck = grebepath_core::random::Random::new(grebepath_runtime::clock::nonce());
    let mut held = Vec::new();
    for _ in 0..10_000 {
        if held.len() == n {
            break;
        }
        let port = 10_000 + luck.below(20_000) as u16;
        if let Ok(sock) = std::net::TcpListener::bind(("127.0.0.1", port)) {
            held.push((port, sock));
        }
    }
    let ports: Vec<u16> = held.iter().map(|(p, _)| *p).collect();
    if ports.len() == n { Ok(ports) } else { Err("no free ports".into()) }
}

/// Starts everything and loads the deployment's configuration.
pub async fn up(layout: Layout) -> Result<Fleet, String> {
    up_with(layout, async |_| Err(std::io::Error::other("no relay"))).await
}

/// Like `up`; the last querier reaches controllers, list and the other queriers
/// only through addresses that `relay` gives for theirs, and is reached so.
pub async fn up_with(
    layout: Layout,
    mut relay: impl AsyncFnMut(SocketAddr) -> std::io::Result<SocketAddr>,
) -> Result<Fleet, String> {
    let mut last = String::new();
    // Another fleet may take a port between our look and our start.
    for _ in 0..4 {
        match processes(layout.clone(), &mut relay).await {
            Ok(fleet) => {
                let conf = fleet.layout.deploy.join(format!("{}.json", fleet.layout.name));
                let conf = std::fs::read(&conf).map_err(|e| format!("{}: {e}", conf.display()))?;
                change(&fleet, Method::PUT, &conf, "first").await?;
                return Ok(fleet);
            }
            Err(e) => last = e,
        }
    }
    Err(last)
}

/// Starts all processes, or none.
async fn processes(
    layout: Layout,
    relay: &mut impl AsyncFnMut(SocketAddr) -> std::io::Result<SocketAddr>,
) -> Result<Fleet, String> {
    let _ = std::fs::remove_dir_all(&layout.dir);
    std::fs::create_dir_all(&layout.dir).map_err(|e| e.to_string())?;
    let ports = free_ports(7 + 2 * layout.queriers)?;
    let addrs: Vec<SocketAddr> =
        ports.iter().map(|p| SocketAddr::from(([127, 0, 0, 1], *p))).collect();
    let (list, seeds, doors) = (addrs[0], &addrs[1..4], addrs[4..7].to_vec());
    let (fronts, inners) = addrs[7..].split_at(layout.queriers);
    let texts: Vec<String> = seeds.iter().map(|a| a.to_string()).collect();
    let zones = grebepath_simulator::mock_backends::ZONES;
    let fleet = layout.dir.file_name().map_or("test".into(), |n| n.display().to_string());
    let spec = layout.deploy.join(format!("{}.standins.json", layout.name)).display().to_string();
    let args = [("spec", spec), ("listen", list.to_string())];
    let backs = proc(&layout, "backs", "mock-backends", &flags(&["backs"], &args));
    let seats = (0..seeds.len())
        .map(|i| {
            let args = [
                ("seat", i.to_string()),
                ("fleet", fleet.clone()),
                ("zone", zones[i].to_string()),
                ("listen", doors[i].to_string()),
                ("inner", texts[i].clone()),
                ("seeds", texts.join(",")),
                ("data", layout.dir.join(format!("seat-{i}")).display().to_string()),
            ];
            proc(&layout, &format!("controller-{i}"), "controller", &flags(&[], &args))
        })
        .collect();
    let mut queriers = Vec::new();
    for i in 0..layout.queriers {
        let mut ways = [seeds[0], seeds[1], seeds[2], list, inners[i]];
        if i + 1 == layout.queriers {
            for way in &mut ways {
                *way = relay(*way).await.unwrap_or(*way);
            }
        }
        let texts = ways.map(|w| w.to_string());
        let args = [
            ("name", format!("q{i}")),
            ("fleet", fleet.clone()),
            ("zone", zones[i % zones.len()].to_string()),
            ("listen", fronts[i].to_string()),
            ("inner", inners[i].to_string()),
            ("seeds", texts[..3].join(",")),
            ("list", texts[3].clone()),
            ("advertise", texts[4].clone()),
        ];
        queriers.push(proc(&layout, &format!("querier-{i}"), "querier", &flags(&[], &args)));
    }
    let (http, fronts) = (grebepath_runtime::http::client::HttpClient::new(16), fronts.to_vec());
    let mut fleet = Fleet { layout, backs, seats, queriers, list, doors, fronts, http };
    let Fleet { backs, seats, queriers, .. } = &mut fleet;
    for p in [backs].into_iter().chain(seats).chain(queriers) {
        start(p)?;
    }
    Ok(fleet)
}

/// A controller with params of the caller's choice; it is not started.
pub fn controller(layout: &Layout, name: &str, pairs: &[(&str, String)]) -> Proc {
    proc(layout, name, "controller", &flags(&[], pairs))
}

/// A querier with params of the caller's choice; it is not started.
pub fn querier(layout: &Layout, name: &str, pairs: &[(&str, String)]) -> Proc {
    proc(layout, name, "querier", &flags(&[], pairs))
}

/// Starts one more controller that is not told a seat; gives its number.
pub fn add_spare(f: &mut Fleet, zone: &str) -> Result<usize, String> {
    let n = f.seats.len();
    let ports = free_ports(2)?;
    let addr = |i: usize| SocketAddr::from(([127, 0, 0, 1], ports[i]));
    let of = |name: &str| {
        let at = f.seats[0].args.iter().position(|a| a == name)?;
        f.seats[0].args.get(at + 1).cloned()
    };
    let args = [
        ("fleet", of("--fleet").ok_or("no --fleet")?),
        ("zone", zone.to_string()),
        ("listen", addr(0).to_string()),
        ("inner", addr(1).to_string()),
        ("seeds", of("--seeds").ok_or("no --seeds")?),
        ("data", f.layout.dir.join(format!("seat-{n}")).display().to_string()),
    ];
    let mut p = controller(&f.layout, &format!("controller-{n}"), &args);
    start(&mut p)?;
    f.seats.push(p);
    f.doors.push(addr(0));
    Ok(n)
}

fn flags(first: &[&str], pairs: &[(&str, String)]) -> Vec<String> {
    let pairs = pairs.iter().flat_map(|(name, val)| [format!("--{name}"), val.clone()]);
    first.iter().map(|s| s.to_string()).chain(pairs).collect()
}

/// Sends one small request; gives status and JSON.
pub async fn request(
    http: &HttpClient,
    method: Method,
    url: String,
    body: Vec<u8>,
    heads: &[(&str, &str)],
) -> Result<(u16, Value), String> {
    let mut req = Request::builder().method(method).uri(url);
    for (name, val) in heads {
        req = req.header(*name, *val);
    }
    let req = req.body(Full::new(Bytes::from(body))).map_err(|e| e.to_string())?;
    let resp =
        http.call_within(req, 1 << 28, Duration::from_secs(12)).await.map_err(|e| e.to_string())?;
    let val = serde_json::from_slice(resp.body()).unwrap_or(Value::Null);
    Ok((resp.status().as_u16(), val))
}

/// Changes the configuration through any controller that answers, under one
/// request id, until it is accepted.
pub async fn change(f: &Fleet, method: Method, body: &[u8], id: &str) -> Result<u64, String> {
    let mut last = String::from("no controller is up");
    for round in 0..10 {
        let addr = f.doors[round % f.doors.len()];
        let url = format!("http://{addr}/v1/config");
        match request(&f.http, method.clone(), url, body.to_vec(), &[("request-id", id)]).await {
            Ok((200, val)) => return val["revision"].as_u64().ok_or("no revision".into()),
            Ok((code, val)) if code < 500 => return Err(format!("status {code}: {val}")),
            Ok((code, val)) => last = format!("status {code}: {val}"),
            Err(e) => last = e,
        }
    }
    Err(last)
}

/// Sets single objects.
pub async fn patch(f: &Fleet, val: &Value, id: &str) -> Result<u64, String> {
    change(f, Method::PATCH, val.to_string().as_bytes(), id).await
}

/// Tells the stand-in back ends to misbehave.
pub async fn order(f: &Fleet, val: Value) -> Result<Value, String> {
    let url = format!("http://{}/control", f.list);
    let (code, got) =
        request(&f.http, Method::POST, url, val.to_string().into_bytes(), &[]).await?;
    if code == 200 { Ok(got) } else { Err(got.to_string()) }
}

/// Asks the stand-ins for `/runs` or `/state`.
pub async fn ask_backs(f: &Fleet, path: &str) -> Result<Value, String> {
    let url = format!("http://{}{path}", f.list);
    Ok(request(&f.http, Method::GET, url, Vec::new(), &[]).await?.1)
}

/// Waits until a condition on the fleet holds: asks again as soon as the last
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

/// Whether a querier is ready.
pub async fn ready(f: &Fleet, i: usize) -> bool {
    crate::callers::is_ready(&f.http, f.fronts[i]).await
}

/// The revision that each running querier obeys, by its own metrics.
pub async fn obeyed(f: &Fleet, i: usize) -> Option<u64> {
    metric(f, f.fronts[i], "grebe_revision").await
}

/// A text, such as that of a process's metrics.
pub async fn text(http: &HttpClient, url: String) -> Option<String> {
    let req = Request::get(url).body(Full::default()).ok()?;
    let resp = http.call_within(req, 1 << 20, Duration::from_secs(2)).await.ok()?;
    String::from_utf8(resp.body().to_vec()).ok()
}

/// One metric of a process, summed over its labels.
pub async fn metric(f: &Fleet, addr: SocketAddr, name: &str) -> Option<u64> {
    let text = text(&f.http, format!("http://{addr}/metrics")).await?;
    let mut sum = None;
    for line in text.lines().filter(|l| !l.starts_with('#')) {
        let (key, val) = line.rsplit_once(' ')?;
        if key.split('{').next() == Some(name) {
            sum = Some(sum.unwrap_or(0) + val.parse::<u64>().ok()?);
        }
    }
    sum
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

/// A summary of one controller's status.
pub async fn status(f: &Fleet, i: usize) -> Result<Value, String> {
    let url = format!("http://{}/v1/status", f.doors[i]);
    let (code, val) = request(&f.http, Method::GET, url, Vec::new(), &[]).await?;
    if code == 200 { Ok(val) } else { Err(json!({ "status": code, "body": val }).to_string()) }
}

/// The seat that owns the configuration, as the first controller that answers
/// sees it.
pub async fn config_owner(f: &Fleet) -> Option<usize> {
    for i in 0..f.doors.len() {
        if f.seats[i].child.is_some()
            && let Ok(val) = status(f, i).await
            && let Some(n) = val["here"]["parts"][0]["owner"].as_u64()
            && f.seats[n as usize].child.is_some()
        {
            return Some(n as usize);
        }
    }
    None
}
