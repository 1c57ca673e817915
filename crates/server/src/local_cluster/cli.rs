//! The command line of the local cluster's runner.

use bpaf::{OptionParser, Parser, construct, long, positional};

/// The command line's arguments.
pub struct Args {
    pub dir: String,
    pub deploy: String,
    pub queriers: usize,
    pub seconds: u64,
    pub factor: f64,
    pub seed: u64,
    pub stay: bool,
    /// Scheduled faults, each in the form `SECOND:WORD[:ARGUMENT]`.
    pub faults: Vec<String>,
    pub name: String,
}

fn options() -> OptionParser<Args> {
    let dir = long("dir").help("empty folder for data and logs").argument::<String>("DIR");
    let deploy = long("deploy")
        .help("folder of the deployments' files")
        .argument::<String>("DIR")
        .fallback("deploy".into());
    let queriers = long("queriers").argument::<usize>("N").fallback(6);
    let seconds =
        long("seconds").help("duration of the load in seconds").argument::<u64>("N").fallback(20);
    let factor =
        long("factor").help("factor on the spec's call rates").argument::<f64>("X").fallback(1.0);
    let seed = long("seed").argument::<u64>("N").fallback(1);
    let stay = long("stay").help("start no callers; run until interrupted").switch();
    let faults = long("trouble")
        .help(
            "SECOND:WORD[:ARGUMENT], e.g. 5:kill-querier:1, 5:kill-controller:owner, \
             8:start-querier:1, 8:stop-controller:0, 9:cont-controller:0, 10:term-querier:2, \
             12:drain:a, 15:undrain:a, 6:leafs:{\"do\":\"dark\",\"count\":1}",
        )
        .argument::<String>("T")
        .many();
    let name = positional::<String>("DEPLOYMENT").help("mohalla or kahurangi");
    construct!(Args { dir, deploy, queriers, seconds, factor, seed, stay, faults, name })
        .to_options()
        .descr("runs a cluster of real processes on loopback")
}

/// Reads the command line.
pub fn read() -> Args {
    options().run()
}
