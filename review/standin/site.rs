//! A small deployment on loopback addresses for the review's scripts, with the
//! standard library alone: it starts the project's programs by the commands and
//! templates of `deploy/system.toml`, serves the platform's list and the leafs,
//! and has what clients and operators need to call.
//!
//! Leafs keep to the pages: they answer 421 to a request for another leaf, echo
//! `Request-Id`, stamp what they ran and work on one request a connection.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// The option of `prctl` by which a process is sent a signal when its parent ends.
const PARENT_DEATH_SIGNAL: i32 = 1;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub fn pause(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

/// What was sent, answered and run, with the time of each.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|e| fail(&format!("the record: {e}")));
        Record { began: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// The same, and on the terminal.
    pub fn say(&self, text: &str) {
        self.note(text);
        println!("{:>7} ms  {text}", self.now());
    }
}

/// The case can't run.
pub fn fail(why: &str) -> ! {
    println!("could not run: {why}");
    std::process::exit(2)
}

// ---- HTTP ------------------------------------------------------------------

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub heads: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn head(&self, name: &str) -> Option<&str> {
        self.heads.iter().find(|h| h.0 == name).map(|h| h.1.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// One message off a connection; `None` if it ended before the message was whole.
pub fn read_message(stream: &mut TcpStream, raw: &mut Vec<u8>) -> std::io::Result<Option<Message>> {
    let mut part = [0u8; 16384];
    loop {
        if let Some(at) = raw.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&raw[..at]).to_string();
            let mut lines = head.split("\r\n");
            let first = lines.next().unwrap_or_default().to_string();
            let heads: Vec<(String, String)> = lines
                .filter_map(|l| l.split_once(':'))
                .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_string()))
                .collect();
            let message = Message { first, heads, body: Vec::new() };
            let len: usize =
                message.head("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            if raw.len() >= at + 4 + len {
                let body = raw[at + 4..at + 4 + len].to_vec();
                raw.drain(..at + 4 + len);
                return Ok(Some(Message { body, ..message }));
            }
        }
        match stream.read(&mut part)? {
            0 => return Ok(None),
            n => raw.extend_from_slice(&part[..n]),
        }
    }
}

pub fn response(status: u16, heads: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in heads {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    [out.as_bytes(), body].concat()
}

/// One call on a connection of its own. `Err` tells how it ended without an answer.
pub fn call(
    address: &str,
    request: &str,
    heads: &[(&str, &str)],
    body: &[u8],
    patience: Duration,
) -> Result<Message, String> {
    let at = address.parse().map_err(|e| format!("{e}"))?;
    let mut stream =
        TcpStream::connect_timeout(&at, patience).map_err(|e| format!("no connection: {e}"))?;
    let _ = stream.set_nodelay(true);
    let mut out = format!("{request} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    if !heads.iter().any(|h| h.0.eq_ignore_ascii_case("host")) {
        out.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in heads {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    stream.write_all(&[out.as_bytes(), body].concat()).map_err(|e| format!("not sent: {e}"))?;
    let until = Instant::now() + patience;
    let _ = stream.set_read_timeout(Some(patience.max(Duration::from_millis(1))));
    let got = read_message(&mut stream, &mut Vec::new());
    let _ = stream.shutdown(Shutdown::Both);
    match got {
        Ok(Some(message)) => Ok(message),
        Ok(None) => Err("closed without an answer".into()),
        Err(e)
            if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
                || Instant::now() >= until =>
        {
            Err("silence".into())
        }
        Err(e) => Err(format!("broken: {e}")),
    }
}

// ---- leafs and their list --------------------------------------------------

/// One request that a leaf ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: u64,
    pub leaf: String,
    pub service: String,
    pub zone: String,
    pub id: String,
}

pub struct Leaf {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: String,
    pub state: &'static str,
}

/// The leafs, as the platform's list shows them, and what they ran.
pub struct World {
    pub record: Record,
    pub leafs: Mutex<Vec<Leaf>>,
    pub runs: Mutex<Vec<Run>>,
    /// Time that the leafs of a service work on a request, in milliseconds; 5 if not said.
    pub work_ms: Mutex<BTreeMap<String, u64>>,
    /// When the list was read, and by which machine.
    pub reads: Mutex<Vec<(u64, usize)>>,
}

impl World {
    pub fn new(record: &Record) -> Arc<World> {
        Arc::new(World {
            record: record.clone(),
            leafs: Mutex::default(),
            runs: Mutex::default(),
            work_ms: Mutex::default(),
            reads: Mutex::default(),
        })
    }

    /// Starts a leaf.
    pub fn leaf(self: &Arc<World>, id: &str, service: &str, zone: &str, ip: &str) {
        let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|e| fail(&format!("a leaf: {e}")));
        let address = listener.local_addr().unwrap().to_string();
        self.leafs.lock().unwrap().push(Leaf {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            address,
            state: "ready",
        });
        let (world, id, service, zone) =
            (self.clone(), id.to_string(), service.to_string(), zone.to_string());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (world, id, service, zone) =
                    (world.clone(), id.clone(), service.clone(), zone.clone());
                thread::spawn(move || world.serve_leaf(stream, &id, &service, &zone));
            }
        });
    }

    fn serve_leaf(&self, mut stream: TcpStream, leaf: &str, service: &str, zone: &str) {
        let _ = stream.set_nodelay(true);
        let mut raw = Vec::new();
        while let Ok(Some(request)) = read_message(&mut stream, &mut raw) {
            let id = request.head("request-id").unwrap_or_default().to_string();
            if request.head("expect-leaf").is_some_and(|expected| expected != leaf) {
                let heads = [("Request-Id", id.as_str()), ("Not-Run", "1")];
                if stream.write_all(&response(421, &heads, b"")).is_err() {
                    return;
                }
                continue;
            }
            let run = Run {
                at: self.record.now(),
                leaf: leaf.into(),
                service: service.into(),
                zone: zone.into(),
                id: id.clone(),
            };
            self.record.note(&format!("leaf {leaf} ({service}, {zone}) runs {id}"));
            self.runs.lock().unwrap().push(run);
            let work_ms = self.work_ms.lock().unwrap().get(service).copied().unwrap_or(5);
            pause(work_ms);
            let stamp = format!("{leaf}.{id}");
            let heads = [
                ("Request-Id", id.as_str()),
                ("Postmark", stamp.as_str()),
                ("Leaf-Load", "1,0,8"),
                ("Keep-Alive", "timeout=20"),
            ];
            let body = format!("body of {id} by {leaf}");
            if stream.write_all(&response(200, &heads, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    /// Serves the platform's list to one machine; gives its address. It is the same list for
    /// all, at an address for each, so that the record can tell who read it.
    pub fn list(self: &Arc<World>, ip: &str, reader: usize) -> String {
        let listener =
            TcpListener::bind((ip, 0)).unwrap_or_else(|e| fail(&format!("the list: {e}")));
        let address = listener.local_addr().unwrap().to_string();
        let world = self.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let world = world.clone();
                thread::spawn(move || {
                    let mut raw = Vec::new();
                    while let Ok(Some(_)) = read_message(&mut stream, &mut raw) {
                        world.reads.lock().unwrap().push((world.record.now(), reader));
                        world.record.note(&format!("the list is read by machine {reader}"));
                        let leafs: Vec<String> =
                            world.leafs.lock().unwrap().iter().map(entry).collect();
                        let body =
                            format!("{{\"leaves\":[{}],\"next_page\":null}}", leafs.join(","));
                        let heads = [("Content-Type", "application/json")];
                        if stream.write_all(&response(200, &heads, body.as_bytes())).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        address
    }
}

fn entry(leaf: &Leaf) -> String {
    format!(
        "{{\"id\":\"{}\",\"carrier\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"edition\":\"v1\",\
         \"slots\":8,\"state\":\"{}\",\"warmup_left_ms\":0}}",
        leaf.id, leaf.service, leaf.address, leaf.zone, leaf.state
    )
}

// ---- the project's processes -----------------------------------------------

/// One machine with its program.
pub struct Machine {
    pub name: String,
    pub zone: String,
    /// Where operators or clients reach it.
    pub front: String,
    pub ready: String,
    program: String,
    params: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Machine {
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.unwrap_or_else(|e| fail(&format!("a log: {e}")));
        let copy = log.try_clone().unwrap_or_else(|e| fail(&format!("a log: {e}")));
        let mut command = Command::new(&self.program);
        command.arg("--params").arg(&self.params);
        command.stdin(Stdio::null()).stdout(log).stderr(copy);
        // SAFETY: `prctl` is one system call and may be made between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PARENT_DEATH_SIGNAL, SIGKILL as u64);
                Ok(())
            })
        };
        let child = command.spawn();
        self.child = Some(child.unwrap_or_else(|e| fail(&format!("{}: {e}", self.program))));
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the child has not been waited for, so the id is still its own.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        self.signal(SIGCONT);
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

/// The whole deployment. Dropping it ends every process that it started.
pub struct Site {
    pub record: Record,
    pub world: Arc<World>,
    pub controllers: Vec<Machine>,
    pub queriers: Vec<Machine>,
    pub folder: PathBuf,
    pub trouble: bool,
    next_id: Arc<AtomicU64>,
}

impl Drop for Site {
    fn drop(&mut self) {
        for machine in self.controllers.iter_mut().chain(&mut self.queriers) {
            machine.kill();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub const ZONES: [&str; 3] = ["gulberg", "johar", "dha"];

/// Bounds of `mbh-grebe`, in milliseconds.
pub const CONTACT_MS: u64 = 4_000;
pub const EVACUATE_MS: u64 = 5_000;
pub const ACK_MS: u64 = 5_000;

/// Ports that are free at each of the addresses.
fn free_ports(ips: &[String], count: usize) -> Vec<u16> {
    let mut ports = Vec::new();
    while ports.len() < count {
        let first = TcpListener::bind((ips[0].as_str(), 0))
            .unwrap_or_else(|e| fail(&format!("ports: {e}")));
        let port = first.local_addr().unwrap().port();
        drop(first);
        if !ports.contains(&port)
            && ips.iter().all(|ip| TcpListener::bind((ip.as_str(), port)).is_ok())
        {
            ports.push(port);
        }
    }
    ports
}

impl Site {
    /// Starts three controllers and `fronts` queriers, spread over three zones, and
    /// waits until all are ready. `configuration` is sent first, as edition 1.
    pub fn start(world: Arc<World>, fronts: usize, configuration: &str, tag: &str) -> Site {
        let record = world.record.clone();
        let folder =
            std::env::temp_dir().join(format!("grebe-review-{tag}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap_or_else(|e| fail(&format!("a folder: {e}")));
        let count = 3 + fronts;
        let ips: Vec<String> = (0..count).map(|i| format!("127.0.0.{}", i + 11)).collect();
        let ports = free_ports(&ips, 4);
        let at = |i: usize, port: usize| format!("{}:{}", ips[i], ports[port]);
        let seeds: Vec<String> = (0..3).map(|i| format!("\"{}\"", at(i, 1))).collect();
        let seeds = seeds.join(",");
        let mut machines = Vec::new();
        for i in 0..count {
            let is_core = i < 3;
            let zone = ZONES[i % 3];
            let class = if is_core { "sorting" } else { "counter" };
            let name = format!("{class}-{zone}-{}", i / 3 + 1);
            let data = folder.join(format!("data-{i}"));
            if is_core {
                std::fs::create_dir_all(&data).unwrap_or_else(|e| fail(&format!("a folder: {e}")));
            }
            let template =
                if is_core { "platform/controller.json" } else { "platform/querier.json" };
            let text = std::fs::read_to_string(template).unwrap_or_else(|e| {
                fail(&format!("{template}: {e}; run it at the repository's root"))
            });
            let fields = BTreeMap::from([
                ("node|json", format!("\"{name}\"")),
                ("zone|json", format!("\"{zone}\"")),
                ("ip", ips[i].clone()),
                ("counters.front|json", format!("\"{}\"", at(i, 2))),
                ("counters.ready|json", format!("\"{}\"", at(i, 3))),
                ("counters.control|json", format!("\"{}\"", at(i, 1))),
                ("inner_ports.0", ports[0].to_string()),
                ("seeds|json", format!("[{seeds}]")),
                ("provider.address|json", format!("\"{}\"", world.list("127.0.0.1", i))),
                ("provider.rate_per_s", "49.0".to_string()),
                ("bounds.retry_ratio", "0.2".to_string()),
                ("bounds.retry_slack", "52".to_string()),
                ("bounds.grace_s", "6".to_string()),
                ("first_start", "true".to_string()),
                ("tolerate.machines", "1".to_string()),
                ("data_dir|json", format!("\"{}\"", data.display())),
            ]);
            let params = folder.join(format!("{name}.json"));
            std::fs::write(&params, filled(&text, &fields))
                .unwrap_or_else(|e| fail(&format!("{e}")));
            let program =
                if is_core { "target/release/controller" } else { "target/release/querier" };
            machines.push(Machine {
                name: name.clone(),
                zone: zone.into(),
                front: at(i, if is_core { 1 } else { 2 }),
                ready: at(i, 3),
                program: program.into(),
                params,
                log: folder.join(format!("{name}.log")),
                child: None,
            });
        }
        let queriers = machines.split_off(3);
        let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
        let mut site = Site {
            record,
            world,
            controllers: machines,
            queriers,
            folder,
            trouble,
            next_id: Arc::new(AtomicU64::new(1)),
        };
        for machine in site.controllers.iter_mut().chain(&mut site.queriers) {
            machine.start();
        }
        site.configure(configuration, 0);
        let until = Instant::now() + Duration::from_secs(25);
        while !site.queriers.iter().all(is_ready) {
            if Instant::now() > until {
                site.stop_and_fail("the queriers did not become ready");
            }
            pause(100);
        }
        site.record.say("all queriers are ready");
        site
    }

    pub fn stop_and_fail(&mut self, why: &str) -> ! {
        for machine in self.controllers.iter_mut().chain(&mut self.queriers) {
            machine.kill();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
        fail(why)
    }

    /// Sends a whole configuration until it is taken.
    pub fn configure(&mut self, body: &str, base: u64) {
        let base = base.to_string();
        let heads = [("If-Match", base.as_str()), ("Content-Type", "application/json")];
        let until = Instant::now() + Duration::from_secs(25);
        for turn in 0.. {
            let to = &self.controllers[turn % 3];
            let got =
                call(&to.front, "PUT /api/config", &heads, body.as_bytes(), Duration::from_secs(3));
            self.record.note(&format!("PUT /api/config to {}: {}", to.name, told(&got)));
            match got {
                Ok(answer) if answer.status() == 200 => return,
                Ok(answer) if matches!(answer.status(), 400 | 409 | 412 | 413 | 422) => {
                    let text = String::from_utf8_lossy(&answer.body).to_string();
                    self.stop_and_fail(&format!("the configuration was refused: {text}"));
                }
                _ if Instant::now() > until => self.stop_and_fail("no configuration was taken"),
                _ => pause(200),
            }
        }
    }

    /// An order without a body to one controller, with a second of patience.
    pub fn order(&self, to: usize, request: &str) -> Result<Message, String> {
        let machine = &self.controllers[to];
        self.record.say(&format!("operator -> {}: {request}", machine.name));
        let got = call(&machine.front, request, &[], b"", Duration::from_secs(1));
        self.record.say(&format!("operator <- {}: {request}: {}", machine.name, told(&got)));
        got
    }

    /// The same as the operator sends it: to these controllers in turn, until one
    /// acknowledges it or `ack_ms` have passed. Gives the time of the acknowledgement.
    pub fn order_until_acknowledged(&mut self, turns: &[usize], request: &str) -> u64 {
        let until = Instant::now() + Duration::from_millis(ACK_MS);
        for turn in 0.. {
            let to = turns[turn.min(turns.len() - 1)];
            match self.order(to, request) {
                Ok(answer) if (200..300).contains(&answer.status()) => return self.record.now(),
                _ if Instant::now() > until => {
                    self.stop_and_fail(&format!("{request}: never acknowledged"))
                }
                _ => pause(100),
            }
        }
        unreachable!()
    }

    /// Asks each querier once a second whether it is ready, as the platform does; one that
    /// misses twice gets no new connections until it answers 200 again.
    pub fn entry(&self, stop: &Arc<AtomicBool>) -> Vec<Arc<AtomicBool>> {
        let mut open = Vec::new();
        for querier in &self.queriers {
            let is_open = Arc::new(AtomicBool::new(true));
            open.push(is_open.clone());
            let (ready, name) = (querier.ready.clone(), querier.name.clone());
            let (record, stop) = (self.record.clone(), stop.clone());
            thread::spawn(move || {
                let mut misses = 0;
                while !stop.load(Ordering::Relaxed) {
                    let got = call(&ready, "GET /api/ready", &[], b"", Duration::from_millis(900));
                    misses = if got.is_ok_and(|a| a.status() == 200) { 0 } else { misses + 1 };
                    if (misses < 2) != is_open.swap(misses < 2, Ordering::Relaxed) {
                        record.say(&format!(
                            "platform: {name} is {}",
                            if misses < 2 { "in" } else { "out" }
                        ));
                    }
                    pause(1_000);
                }
            });
        }
        open
    }

    /// Clients that keep a connection to each querier and ask on it every `period_ms` until
    /// `stop`, `clients` of them to each, spread over the period. They heed
    /// `Connection: close`, and open a new connection only to a querier that is open.
    pub fn kept_traffic(
        &self,
        host: &'static str,
        path: &'static str,
        (clients, period_ms): (u64, u64),
        open: &[Arc<AtomicBool>],
        stop: &Arc<AtomicBool>,
    ) {
        for (querier, open) in self.queriers.iter().zip(open) {
            for client in 0..clients {
                let (front, name, open) =
                    (querier.front.clone(), querier.name.clone(), open.clone());
                let (record, stop, next) =
                    (self.record.clone(), stop.clone(), self.next_id.clone());
                thread::spawn(move || {
                    pause(client * period_ms / clients);
                    let mut kept: Option<TcpStream> = None;
                    while !stop.load(Ordering::Relaxed) {
                        let began = record.now();
                        if kept.is_none() && open.load(Ordering::Relaxed) {
                            kept = TcpStream::connect(&front).ok();
                        }
                        if let Some(mut stream) = kept.take() {
                            let id = format!("k{:06}", next.fetch_add(1, Ordering::Relaxed));
                            record.note(&format!("client -> {name}: {id} on a kept connection"));
                            let text = format!(
                                "GET {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\n\
                                 Deadline-Ms: 5000\r\n\r\n"
                            );
                            let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
                            let sent = stream.write_all(text.as_bytes());
                            let got = sent.and_then(|_| read_message(&mut stream, &mut Vec::new()));
                            let got = match got {
                                Ok(Some(answer)) => Ok(answer),
                                Ok(None) => Err("closed without an answer".to_string()),
                                Err(e) => Err(format!("broken: {e}")),
                            };
                            record.note(&format!("client <- {name}: {id}: {}", told(&got)));
                            let stays = |answer: &Message| {
                                answer.head("connection").is_none_or(|v| !v.contains("close"))
                            };
                            kept = got.is_ok_and(|answer| stays(&answer)).then_some(stream);
                        }
                        pause((began + period_ms).saturating_sub(record.now()).max(20));
                    }
                });
            }
        }
    }

    /// Clients that ask each querier that is open `per_s` times a second until `stop`, each
    /// time on a new connection.
    pub fn traffic(
        &self,
        host: &'static str,
        path: &'static str,
        per_s: u64,
        open: &[Arc<AtomicBool>],
        stop: &Arc<AtomicBool>,
    ) {
        for (querier, open) in self.queriers.iter().zip(open) {
            let (front, name, open) = (querier.front.clone(), querier.name.clone(), open.clone());
            let (record, stop, next) = (self.record.clone(), stop.clone(), self.next_id.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    if !open.load(Ordering::Relaxed) {
                        pause(50);
                        continue;
                    }
                    let id = format!("r{:06}", next.fetch_add(1, Ordering::Relaxed));
                    let (record, front, name) = (record.clone(), front.clone(), name.clone());
                    thread::spawn(move || {
                        let heads =
                            [("Host", host), ("Request-Id", id.as_str()), ("Deadline-Ms", "5000")];
                        record.note(&format!("client -> {name}: {id}"));
                        let request = format!("GET {path}");
                        let got = call(&front, &request, &heads, b"", Duration::from_secs(5));
                        record.note(&format!("client <- {name}: {id}: {}", told(&got)));
                    });
                    pause(1000 / per_s);
                }
            });
        }
    }
}

fn is_ready(machine: &Machine) -> bool {
    let got = call(&machine.ready, "GET /api/ready", &[], b"", Duration::from_secs(1));
    got.is_ok_and(|answer| answer.status() == 200)
}

pub fn told(got: &Result<Message, String>) -> String {
    match got {
        Ok(answer) => {
            format!("{} {}", answer.status(), String::from_utf8_lossy(&answer.body).trim())
        }
        Err(why) => why.clone(),
    }
}

/// Fills the gaps of a template.
fn filled(text: &str, fields: &BTreeMap<&str, String>) -> String {
    let mut out = String::new();
    let mut rest = text;
    while let Some((before, more)) = rest.split_once("{{") {
        let Some((gap, after)) = more.split_once("}}") else { break };
        out.push_str(before);
        out.push_str(fields.get(gap).unwrap_or_else(|| fail(&format!("the template's gap {gap}"))));
        rest = after;
    }
    out + rest
}
