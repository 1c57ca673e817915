//! The controller's params.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{OptionParser, Parser, long};
use grebepath_core::consts::{SEATS, SEATS_MAX};
use grebepath_core::storage::voter_file::Start;
use grebepath_runtime::platform_api::PlatformApi;
use grebepath_runtime::settings::{EXIT_SETTINGS, SettingsReader, exit_if_any};

use crate::error::ControllerError;

/// Everything a controller must be told.
#[derive(Clone)]
pub struct Params {
    /// Which of the seeds it is, where an operator gives the seats away.
    pub seat: Option<u8>,
    pub zone: String,
    /// Where operators reach it.
    pub listen: SocketAddr,
    /// Where the other processes reach it.
    pub inner: SocketAddr,
    /// Where the other processes find it: `inner`, with the port it got.
    pub addr: SocketAddr,
    /// Inner addresses of controllers: with `seat` all of them by their seats,
    /// else any that are likely to be up; at the first start those that begin.
    pub seeds: Vec<SocketAddr>,
    /// The fleet starts for the first time.
    pub first: bool,
    /// How many seats it begins with.
    pub seats: usize,
    pub data: PathBuf,
    /// The fleet it belongs to; a number that all its processes share.
    pub fleet: u64,
    /// How operators speak beside our own manner.
    pub dialect: Option<&'static PlatformApi>,
}

struct Flags {
    file: Option<String>,
    seat: Option<String>,
    zone: Option<String>,
    listen: Option<String>,
    inner: Option<String>,
    seeds: Option<String>,
    first: Option<String>,
    seats: Option<String>,
    bear: Option<String>,
    data: Option<String>,
    fleet: Option<String>,
    dialect: Option<String>,
    seed_port: Option<String>,
}

fn flags() -> OptionParser<Flags> {
    let file =
        long("params").help("JSON file with params; flags go first").argument("FILE").optional();
    let seat = long("seat")
        .help("which of the seeds this is, from 0; without it a seat is found")
        .argument("N")
        .optional();
    let zone = long("zone").help("the zone this machine stands in").argument("NAME").optional();
    let listen = long("listen").help("address for operators").argument("IP:PORT").optional();
    let inner =
        long("inner").help("address for the other processes").argument("IP:PORT").optional();
    let seeds = long("seeds")
        .help("inner addresses of controllers, with commas; with --seat all, by seat")
        .argument("IP:PORT,..")
        .optional();
    let data = long("data").help("folder for this controller's files").argument("DIR").optional();
    let fleet = long("fleet")
        .help("the fleet's name, the same for all its processes (grebe)")
        .argument("NAME")
        .optional();
    let first = long("first")
        .help("whether the whole fleet starts for the first time (false)")
        .argument("true|false")
        .optional();
    let seats = long("seats")
        .help("seats of the core, an odd number: twice the machines that may be lost, and 1 (3)")
        .argument("N")
        .optional();
    let bear = long("bear")
        .help("machines of the core that may be lost at once, instead of `seats`")
        .argument("N")
        .optional();
    let dialect = long("dialect")
        .help("how operators may speak beside our own manner: own (default) or platform")
        .argument("NAME")
        .optional();
    let seed_port = long("seed-port")
        .help("port of the seeds' inner addresses, if `seeds` gives others")
        .argument("N")
        .optional();
    bpaf::construct!(Flags {
        file,
        seat,
        zone,
        listen,
        inner,
        seeds,
        first,
        seats,
        bear,
        data,
        fleet,
        dialect,
        seed_port
    })
    .to_options()
    .descr("grebepath's control plane")
}

/// Reads and checks; ends the process with 2 if anything is wrong.
pub fn read() -> Params {
    let f = match flags().run_inner(bpaf::Args::current_args()) {
        Ok(f) => f,
        Err(e) => {
            e.print_message(100);
            std::process::exit(if e.exit_code() == 0 { 0 } else { EXIT_SETTINGS });
        }
    };
    let pairs = vec![
        ("seat", f.seat),
        ("zone", f.zone),
        ("listen", f.listen),
        ("inner", f.inner),
        ("seeds", f.seeds),
        ("first", f.first),
        ("seats", f.seats),
        ("bear", f.bear),
        ("data", f.data),
        ("fleet", f.fleet),
        ("dialect", f.dialect),
        ("seed_port", f.seed_port),
    ];
    let mut r = SettingsReader::new(pairs, f.file.as_deref());
    let seat = r.optional_number("seat", 0, u64::from(SEATS_MAX) - 1).map(|n| n as u8);
    let port = r.number("seed_port", 0, 65_535, Some(0)) as u16;
    let seeds = r.addresses("seeds", 1, SEATS_MAX.into(), (port > 0).then_some(port));
    let inner = r.address("inner");
    let dialect = r.choice("dialect", &["own", "platform"], "own");
    let bear = r.number("bear", 0, (u64::from(SEATS_MAX) - 1) / 2, Some(SEATS / 2));
    let out = Params {
        seat,
        fleet: r.fleet_id(),
        zone: r.name("zone"),
        listen: r.address("listen"),
        inner,
        addr: inner,
        seeds,
        first: r.yes_or_no("first", false),
        seats: r.number("seats", 1, SEATS_MAX.into(), Some(2 * bear + 1)) as usize,
        dialect: (dialect == "platform").then_some(&platform::DIALECT),
        data: PathBuf::from(r.text("data", None)),
    };
    if out.seats.is_multiple_of(2) {
        r.report("--seats", "expected an odd number");
    }
    if let Some(seat) = seat {
        told(&out, seat, &mut r);
    }
    let all = r.finish();
    exit_if_any("controller", &all);
    out
}

/// What must hold where an operator gives the seats away.
fn told(p: &Params, seat: u8, r: &mut SettingsReader) {
    if p.seeds.len().is_multiple_of(2) {
        r.report("--seeds", "with --seat, expected an odd number of addresses");
    }
    match p.seeds.get(usize::from(seat)) {
        None => r.report("--seat", format!("there are {} seeds", p.seeds.len())),
        Some(seed) if p.inner.port() != 0 && *seed != p.inner => {
            let text =
                format!("seed {seat} is {seed}, but this seat's inner address is {}", p.inner);
            r.report("--seeds", text);
        }
        Some(_) => {}
    }
}

/// What decides who this controller is at its start.
pub fn start(p: &Params) -> Start {
    Start {
        slot: p.seat,
        first: p.first,
        seeds: p.seeds.iter().map(|s| s.to_string()).collect(),
        size: p.seats,
        addr: p.addr.to_string(),
    }
}

/// A data folder belongs to one seat for ever: used by another, it would vote
/// twice.
pub fn check_seat(p: &Params) -> Result<(), ControllerError> {
    use std::io::Write;
    let Some(seat) = p.seat else { return Ok(()) };
    let path = p.data.join("seat");
    match std::fs::read_to_string(&path) {
        Ok(text) if text.trim() == seat.to_string() => Ok(()),
        Ok(text) if !text.trim().is_empty() => Err(ControllerError::FolderOfAnotherSlot {
            folder: p.data.clone(),
            found: text.trim().to_string(),
            expected: seat,
        }),
        _ => {
            let mut file = std::fs::File::create(&path)?;
            writeln!(file, "{seat}")?;
            file.sync_all()?;
            std::fs::File::open(&p.data)?.sync_all()?;
            Ok(())
        }
    }
}
