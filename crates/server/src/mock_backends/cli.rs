//! The command line of the mock back ends and callers.

use std::net::SocketAddr;

use bpaf::{OptionParser, Parser, construct, long};

/// The command to run.
pub enum Verb {
    MockBackends {
        spec: String,
        listen: SocketAddr,
        seed: u64,
    },
    Callers {
        spec: String,
        targets: Vec<SocketAddr>,
        list: Option<SocketAddr>,
        seconds: u64,
        factor: f64,
        seed: u64,
    },
}

fn options() -> OptionParser<Verb> {
    let spec = || long("spec").help("JSON file of the deployment").argument::<String>("FILE");
    let seed = || long("seed").argument::<u64>("N").fallback(1);
    let listen = long("listen")
        .help("address of the list and control listener")
        .argument::<SocketAddr>("IP:PORT")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)));
    let (s, e) = (spec(), seed());
    let backends = construct!(s, listen, e)
        .map(|(spec, listen, seed)| Verb::MockBackends { spec, listen, seed })
        .to_options()
        .descr("runs mock leafs and the platform's list")
        .command("backs");
    let targets = long("target")
        .help("address of a querier; may be repeated")
        .argument::<SocketAddr>("IP:PORT")
        .some("at least one --target");
    let list = long("list")
        .help("address of the mock back ends, to check answers against the leafs' log")
        .argument::<SocketAddr>("IP:PORT")
        .optional();
    let seconds = long("seconds").argument::<u64>("N").fallback(10);
    let factor =
        long("factor").help("factor on the spec's call rates").argument::<f64>("X").fallback(1.0);
    let (s, e) = (spec(), seed());
    let callers = construct!(s, targets, list, seconds, factor, e)
        .map(|(spec, targets, list, seconds, factor, seed)| Verb::Callers {
            spec,
            targets,
            list,
            seconds,
            factor,
            seed,
        })
        .to_options()
        .descr("runs callers that check every answer")
        .command("callers");
    construct!([backends, callers])
        .to_options()
        .descr("mock back ends and callers for tests of grebepath")
}

/// Reads the command line.
pub fn read() -> Verb {
    options().run()
}
