//! The command line.

use bpaf::{OptionParser, Parser, construct, long};

/// What to play.
pub struct Args {
    /// The first seed.
    pub seed: u64,
    /// How many seeds.
    pub seeds: u64,
    /// How long each run lasts (s).
    pub length: u64,
    /// Queriers of the cluster.
    pub queriers: usize,
    /// Where the report goes, as JSON.
    pub json: Option<String>,
    /// Folder for data and logs; a folder a seed.
    pub dir: String,
    /// Folder of the deployments' files.
    pub deploy: String,
    /// Folder of the daemons, if they are not those beside this program.
    pub program_dir: Option<String>,
    /// What the stand-ins do wrong on purpose.
    pub broken: Option<String>,
}

impl Args {
    /// How long each run lasts (ms).
    pub fn length_ms(&self) -> u64 {
        self.length * 1_000
    }
}

fn options() -> OptionParser<Args> {
    let seed = long("seed").help("the first seed").argument::<u64>("A").fallback(1);
    let seeds = long("seeds").help("how many seeds").argument::<u64>("N").fallback(1);
    let length = long("length").help("seconds of each run").argument::<u64>("S").fallback(30);
    let queriers = long("queriers").argument::<usize>("Q").fallback(6);
    let json = long("json").help("file for the report").argument::<String>("FILE").optional();
    let dir = long("dir").help("folder for data and logs").argument::<String>("DIR");
    let deploy = long("deploy").argument::<String>("DIR").fallback("deploy".into());
    let program_dir = long("programs")
        .help("folder of controller and querier, such as those of an older build")
        .argument::<String>("DIR")
        .optional();
    let broken = long("broken")
        .help("what the stand-ins do wrong: dead-list or unsent-drains")
        .argument::<String>("VARIANT")
        .optional();
    construct!(Args { seed, seeds, length, queriers, json, dir, deploy, program_dir, broken })
        .to_options()
        .descr("real processes under drawn faults, judged from outside")
}

/// Reads the command line.
pub fn read() -> Args {
    options().run()
}
