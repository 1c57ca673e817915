//! The querier's params.

use std::net::SocketAddr;

use bpaf::{OptionParser, Parser, long};
use grebepath_core::consts::{self, SEATS_MAX};
use grebepath_core::diagnostic::Diagnostic;
use grebepath_core::query::service_retry_budget::RetryRate;
use grebepath_core::time::Span;
use grebepath_runtime::platform_api::PlatformApi;
use grebepath_runtime::settings::{EXIT_SETTINGS, SettingsReader, exit_if_any};

/// Everything a querier must be told.
#[derive(Clone)]
pub struct Params {
    pub name: String,
    pub zone: String,
    /// Where callers reach it.
    pub listen: SocketAddr,
    /// Where it listens for its membership.
    pub inner: SocketAddr,
    /// Where its membership reaches it, if that is another address.
    pub advertise: Option<SocketAddr>,
    /// The fleet it belongs to; a number that all its processes share.
    pub fleet: u64,
    /// Inner addresses of controllers, any that are likely to be up.
    pub seeds: Vec<SocketAddr>,
    /// Where the platform serves its list of leafs.
    pub list: SocketAddr,
    pub threads: u32,
    /// How the world outside speaks; nothing for our own manner.
    pub dialect: Option<&'static PlatformApi>,
    /// Where the platform asks whether it is ready, if not at `listen`.
    pub check: Option<SocketAddr>,
    /// The fleet's rule of second tries for calls that are handed over.
    pub rate: RetryRate,
    /// Time from the wish to stop until the process must be gone.
    pub grace: Option<Span>,
    /// Whether leafs are asked about themselves.
    pub probes: bool,
    /// Calls a second that the list takes from all nodes.
    pub list_rate: u64,
    /// The file that these came from.
    pub file: Option<String>,
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
    dialect: Option<String>,
    check: Option<String>,
    more: More,
}

/// Flags that only some deployments need.
struct More {
    seed_port: Option<String>,
    second_share: Option<String>,
    second_slack: Option<String>,
    grace_s: Option<String>,
    probes: Option<String>,
    list_rate: Option<String>,
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
    let dialect = long("dialect")
        .help("how callers, leafs and the list speak: own (default) or platform")
        .argument("NAME")
        .optional();
    let check = long("check")
        .help("address at which readiness is asked, if it is another")
        .argument("IP:PORT")
        .optional();
    let seed_port = long("seed-port")
        .help("port of the seeds' inner addresses, if `seeds` gives others")
        .argument("N")
        .optional();
    let second_share = long("second-share")
        .help("second tries for each call that is handed over, 0 to 1")
        .argument("SHARE")
        .optional();
    let second_slack = long("second-slack")
        .help("second tries beyond that, over the whole fleet")
        .argument("N")
        .optional();
    let grace_s = long("grace-s")
        .help("seconds from the wish to stop until the process must be gone")
        .argument("S")
        .optional();
    let probes = long("probes")
        .help("whether leafs are probed: on (default) or off")
        .argument("W")
        .optional();
    let list_rate = long("list-rate")
        .help("calls a second that the list takes from all nodes together (40)")
        .argument("N")
        .optional();
    let more = bpaf::construct!(More {
        seed_port,
        second_share,
        second_slack,
        grace_s,
        probes,
        list_rate
    });
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
        threads,
        dialect,
        check,
        more
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
            std::process::exit(if e.exit_code() == 0 { 0 } else { EXIT_SETTINGS });
        }
    };
    let (out, all) = checked(f);
    exit_if_any("querier", &all);
    out
}

/// Reads and checks once more under a running process.
pub fn again() -> Result<Params, Vec<Diagnostic>> {
    let Ok(f) = flags().run_inner(bpaf::Args::current_args()) else { return Err(Vec::new()) };
    match checked(f) {
        (out, all) if all.is_empty() => Ok(out),
        (_, all) => Err(all),
    }
}

fn checked(f: Flags) -> (Params, Vec<Diagnostic>) {
    let file = f.file.clone();
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
        ("dialect", f.dialect),
        ("check", f.check),
        ("seed_port", f.more.seed_port),
        ("second_share", f.more.second_share),
        ("second_slack", f.more.second_slack),
        ("grace_s", f.more.grace_s),
        ("probes", f.more.probes),
        ("list_rate", f.more.list_rate),
    ];
    let mut r = SettingsReader::new(pairs, f.file.as_deref());
    let port = r.number("seed_port", 0, 65_535, Some(0)) as u16;
    let seeds = r.addresses("seeds", 1, SEATS_MAX.into(), (port > 0).then_some(port));
    let own = RetryRate::standard();
    let dialect = r.choice("dialect", &["own", "platform"], "own");
    let out = Params {
        name: r.name("name"),
        fleet: r.fleet_id(),
        advertise: r.optional_address("advertise"),
        zone: r.name("zone"),
        listen: r.address("listen"),
        inner: r.address("inner"),
        seeds,
        list: r.address("list"),
        threads: r.number("threads", 1, 64, Some(1)) as u32,
        dialect: (dialect == "platform").then_some(&platform::DIALECT),
        check: r.optional_address("check"),
        rate: RetryRate {
            per_thousand: r.share_in_thousandths("second_share", own.per_thousand),
            fleet_slack: r.number("second_slack", 0, 1_000_000, Some(own.fleet_slack)),
        },
        grace: r.optional_seconds("grace_s"),
        probes: r.choice("probes", &["on", "off"], "on") == "on",
        list_rate: r.positive_amount("list_rate", consts::LIST_RATE),
        file,
    };
    let all = r.finish();
    (out, all)
}
