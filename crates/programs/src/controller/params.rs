//! The controller's params.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{OptionParser, Parser, long};
use grebe::consts::SEATS;
use grebe::lang::finding::find;
use runtime::dialect::Dialect;
use runtime::params as p;

/// Everything a controller must be told.
#[derive(Clone)]
pub struct Params {
    /// Which of the three seeds it is.
    pub seat: u8,
    pub zone: String,
    /// Where operators reach it.
    pub listen: SocketAddr,
    /// Where the other processes reach it.
    pub inner: SocketAddr,
    /// Inner addresses of the three controllers, in the order of their seats.
    pub seeds: Vec<SocketAddr>,
    pub data: PathBuf,
    /// The fleet it belongs to; a number that all its processes share.
    pub fleet: u64,
    /// How operators speak beside our own manner.
    pub dialect: Option<&'static Dialect>,
}

struct Flags {
    file: Option<String>,
    seat: Option<String>,
    zone: Option<String>,
    listen: Option<String>,
    inner: Option<String>,
    seeds: Option<String>,
    data: Option<String>,
    fleet: Option<String>,
    dialect: Option<String>,
    seed_port: Option<String>,
}

fn flags() -> OptionParser<Flags> {
    let file =
        long("params").help("JSON file with params; flags go first").argument("FILE").optional();
    let seat =
        long("seat").help("which of the three seeds this is: 0, 1 or 2").argument("N").optional();
    let zone = long("zone").help("the zone this machine stands in").argument("NAME").optional();
    let listen = long("listen").help("address for operators").argument("IP:PORT").optional();
    let inner =
        long("inner").help("address for the other processes").argument("IP:PORT").optional();
    let seeds = long("seeds")
        .help("inner addresses of the three controllers, by seat, with commas")
        .argument("IP:PORT,..")
        .optional();
    let data = long("data").help("folder for this controller's files").argument("DIR").optional();
    let fleet = long("fleet")
        .help("the fleet's name; by default it is known by its seeds")
        .argument("NAME")
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
            std::process::exit(if e.exit_code() == 0 { 0 } else { p::EXIT_PARAMS });
        }
    };
    let pairs = vec![
        ("seat", f.seat),
        ("zone", f.zone),
        ("listen", f.listen),
        ("inner", f.inner),
        ("seeds", f.seeds),
        ("data", f.data),
        ("fleet", f.fleet),
        ("dialect", f.dialect),
        ("seed_port", f.seed_port),
    ];
    let mut r = p::reader(pairs, f.file.as_deref());
    let port = p::number(&mut r, "seed_port", 0, 65_535, Some(0)) as u16;
    let seeds = p::some_addrs(&mut r, "seeds", (port > 0).then_some(port));
    let inner = p::addr(&mut r, "inner");
    let here = seeds.iter().position(|s| *s == inner).map(|n| n as u64);
    let seat = p::number(&mut r, "seat", 0, SEATS as u64 - 1, here) as u8;
    let dialect = p::word(&mut r, "dialect", &["own", "platform"], "own");
    let out = Params {
        seat,
        fleet: p::fleet(&mut r, &seeds),
        zone: p::name(&mut r, "zone"),
        listen: p::addr(&mut r, "listen"),
        inner,
        seeds,
        dialect: (dialect == "platform").then_some(&platform::DIALECT),
        data: PathBuf::from(p::text(&mut r, "data", None)),
    };
    if let Some(seed) = out.seeds.get(usize::from(seat))
        && out.seeds.len() == SEATS
        && out.inner.port() != 0
        && *seed != out.inner
    {
        let text = format!("seed {seat} is {seed}, but this seat's inner address is {}", out.inner);
        find(&mut r.all, "--seeds", text);
    }
    let all = p::done(&mut r);
    p::exit_if_any("controller", &all);
    out
}

/// A data folder belongs to one seat for ever: used by another, it would vote
/// twice.
pub fn check_seat(p: &Params) -> Result<(), std::io::Error> {
    use std::io::Write;
    let path = p.data.join("seat");
    match std::fs::read_to_string(&path) {
        Ok(text) if text.trim() == p.seat.to_string() => Ok(()),
        Ok(text) if !text.trim().is_empty() => Err(std::io::Error::other(format!(
            "the data folder {} belongs to seat {}, not {}",
            p.data.display(),
            text.trim(),
            p.seat
        ))),
        _ => {
            let mut file = std::fs::File::create(&path)?;
            writeln!(file, "{}", p.seat)?;
            file.sync_all()?;
            std::fs::File::open(&p.data)?.sync_all()
        }
    }
}
