//! The querier's params.

use std::net::SocketAddr;

use bpaf::{OptionParser, Parser, long};
use grebe::consts::SEATS_MAX;
use runtime::params as p;

/// Everything a querier must be told.
#[derive(Clone)]
pub struct Params {
    pub name: String,
    pub zone: String,
    /// Where callers reach it.
    pub listen: SocketAddr,
    /// Where it listens for its cohort.
    pub inner: SocketAddr,
    /// Where its cohort reaches it, if that is another address.
    pub advertise: Option<SocketAddr>,
    /// The fleet it belongs to; a number that all its processes share.
    pub fleet: u64,
    /// Inner addresses of controllers, any that are likely to be up.
    pub seeds: Vec<SocketAddr>,
    /// Where the platform serves its list of leafs.
    pub list: SocketAddr,
    pub threads: u32,
}

struct Flags {
    file: Option<String>,
    name: Option<String>,
    zone: Option<String>,
    listen: Option<String>,
    inner: Option<String>,
    advertise: Option<String>,
    fleet: Option<String>,
    seeds: Option<String>,
    list: Option<String>,
    threads: Option<String>,
}

fn flags() -> OptionParser<Flags> {
    let file =
        long("params").help("JSON file with params; flags go first").argument("FILE").optional();
    let name =
        long("name").help("this querier's name, its own in the fleet").argument("NAME").optional();
    let zone = long("zone").help("the zone this machine stands in").argument("NAME").optional();
    let listen = long("listen").help("address for callers").argument("IP:PORT").optional();
    let inner = long("inner").help("address for the other queriers").argument("IP:PORT").optional();
    let seeds = long("seeds")
        .help("inner addresses of controllers, with commas")
        .argument("IP:PORT,..")
        .optional();
    let list =
        long("list").help("address of the platform's list of leafs").argument("IP:PORT").optional();
    let threads = long("threads").help("threads for traffic (1)").argument("N").optional();
    let advertise = long("advertise")
        .help("the inner address that others should use, if it is another")
        .argument("IP:PORT")
        .optional();
    let fleet = long("fleet")
        .help("the fleet's name, the same for all its processes (grebe)")
        .argument("NAME")
        .optional();
    bpaf::construct!(Flags {
        file,
        name,
        zone,
        listen,
        inner,
        advertise,
        fleet,
        seeds,
        list,
        threads
    })
    .to_options()
    .descr("grebepath's data plane")
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
        ("name", f.name),
        ("zone", f.zone),
        ("listen", f.listen),
        ("inner", f.inner),
        ("advertise", f.advertise),
        ("fleet", f.fleet),
        ("seeds", f.seeds),
        ("list", f.list),
        ("threads", f.threads),
    ];
    let mut r = p::reader(pairs, f.file.as_deref());
    let seeds = p::addrs(&mut r, "seeds", 1, SEATS_MAX.into());
    let out = Params {
        name: p::name(&mut r, "name"),
        fleet: p::fleet(&mut r),
        advertise: p::maybe_addr(&mut r, "advertise"),
        zone: p::name(&mut r, "zone"),
        listen: p::addr(&mut r, "listen"),
        inner: p::addr(&mut r, "inner"),
        seeds,
        list: p::addr(&mut r, "list"),
        threads: p::number(&mut r, "threads", 1, 64, Some(1)) as u32,
    };
    let all = p::done(&mut r);
    p::exit_if_any("querier", &all);
    out
}
