//! The command line of the process soak.

use bpaf::{OptionParser, Parser, construct, long};

/// The command line's arguments.
pub struct Args {
    /// The first seed.
    pub seed: u64,
    /// Number of seeds.
    pub seeds: u64,
    /// Length of each run (s).
    pub length: u64,
    /// Number of queriers of the cluster.
    pub queriers: usize,
    /// File for the report, as JSON.
    pub json: Option<String>,
    /// Folder for data and logs, with a subfolder for each seed.
    pub dir: String,
    /// Folder of the deployments' files.
    pub deploy: String,
    /// Folder of the daemons, if it differs from the folder of this program.
    pub program_dir: Option<String>,
    /// Fault of the mock back ends or the operator that the checks must detect.
    pub broken: Option<String>,
}

impl Args {
    /// Returns the length of each run (ms).
    pub fn length_ms(&self) -> u64 {
        self.length * 1_000
    }
}

fn options() -> OptionParser<Args> {
    let seed = long("seed").help("the first seed").argument::<u64>("A").fallback(1);
    let seeds = long("seeds").help("number of seeds").argument::<u64>("N").fallback(1);
    let length =
        long("length").help("length of each run in seconds").argument::<u64>("S").fallback(30);
    let queriers = long("queriers").argument::<usize>("Q").fallback(6);
    let json = long("json").help("file for the report").argument::<String>("FILE").optional();
    let dir = long("dir").help("folder for data and logs").argument::<String>("DIR");
    let deploy = long("deploy").argument::<String>("DIR").fallback("deploy".into());
    let program_dir = long("programs")
        .help("folder of controller and querier, such as those of an older build")
        .argument::<String>("DIR")
        .optional();
    let broken = long("broken")
        .help(
            "fault of the mock environment that the checks must detect: dead-list or unsent-drains",
        )
        .argument::<String>("VARIANT")
        .optional();
    construct!(Args { seed, seeds, length, queriers, json, dir, deploy, program_dir, broken })
        .to_options()
        .descr("runs real processes under random faults and checks their behaviour from outside")
}

/// Reads the command line.
pub fn read() -> Args {
    options().run()
}
