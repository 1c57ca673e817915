//! The command line of the simulator.

mod exploration;

use bpaf::{OptionParser, Parser, construct, long, positional};
use grebepath_core::diagnostic::{Diagnostic, lines};
use grebepath_simulator::files::read_json;
use grebepath_simulator::net::MessageCount;
use grebepath_simulator::scenario::{Scenario, play_counting_messages, read};
use grebepath_simulator::{report, world::World};
use serde_json::json;

/// Exit code when a rule was broken.
const EXIT_BROKEN: i32 = 1;
/// Exit code when the scenario or the command line is wrong.
const EXIT_USAGE: i32 = 2;

struct Args {
    seed: u64,
    seeds: u64,
    compare: bool,
    json: bool,
    event_log: bool,
    chaos: bool,
    shrink: bool,
    count_messages: bool,
    queriers: Option<usize>,
    explore: Option<String>,
    pairs: usize,
    tolerates: usize,
    faults: Option<String>,
    deploy: String,
    files: Vec<String>,
}

fn options() -> OptionParser<Args> {
    let seed = long("seed").help("first seed").argument::<u64>("N").fallback(1);
    let seeds = long("seeds").help("number of seeds").argument::<u64>("N").fallback(1);
    let compare = long("compare").help("run two scenarios with the same seeds").switch();
    let json = long("json").help("print JSON instead of tables").switch();
    let event_log = long("story").help("print the log up to the first violation").switch();
    let deploy = long("deploy")
        .help("directory of the deployments' files")
        .argument::<String>("DIR")
        .fallback("deploy".into());
    let count_messages = long("weigh").help("count messages and bytes by kind").switch();
    let queriers = long("queriers")
        .help("number of queriers, overrides the scenario's")
        .argument::<usize>("N")
        .optional();
    let explore = long("explore")
        .help("try every fault at every event of the controllers in this window of seconds")
        .argument::<String>("FROM:TO")
        .optional();
    let pairs = long("pairs")
        .help("with --explore: number of fault pairs, drawn by the seed")
        .argument::<usize>("N")
        .fallback(0);
    let tolerates = long("tolerates")
        .help("with --explore: replicas that may be lost permanently in a run")
        .argument::<usize>("N")
        .fallback(1);
    let faults = long("faults")
        .help("with --explore: run once, with these faults: 12:power,40:gone")
        .argument::<String>("LIST")
        .optional();
    let chaos = long("chaos").help("add faults drawn by each seed").switch();
    let shrink = long("shrink").help("find the fewest faults that still break a rule").switch();
    let files = positional::<String>("SCENARIO").some("expected a scenario file");
    construct!(Args {
        seed,
        seeds,
        compare,
        json,
        event_log,
        chaos,
        shrink,
        count_messages,
        queriers,
        explore,
        pairs,
        tolerates,
        faults,
        deploy,
        files
    })
    .to_options()
    .descr("simulates a cluster of daemons under a virtual clock")
}

fn main() {
    let args = match options().run_inner(bpaf::Args::current_args()) {
        Ok(args) => args,
        Err(e) => {
            e.print_message(100);
            std::process::exit(if e.exit_code() == 0 { 0 } else { EXIT_USAGE });
        }
    };
    if args.compare && args.files.len() != 2 {
        eprintln!("simulator: --compare takes two scenarios");
        std::process::exit(EXIT_USAGE);
    }
    let mut list: Vec<Scenario> = Vec::new();
    for file in &args.files {
        match load(file, &args.deploy) {
            Ok(scenario) => list.push(scenario),
            Err(all) => {
                eprintln!("simulator: {file}:\n{}", lines(&all));
                std::process::exit(EXIT_USAGE);
            }
        }
    }
    let mut broken = false;
    if let Some(window) = &args.explore {
        std::process::exit(exploration::run(&args, window, &list));
    }
    for seed in args.seed..args.seed + args.seeds {
        let mut rows = Vec::new();
        for scenario in &list {
            let mut scenario =
                if args.chaos { with_drawn_faults(scenario, seed) } else { scenario.clone() };
            scenario.queriers = args.queriers.unwrap_or(scenario.queriers);
            let world = play_counting_messages(&scenario, seed, None, args.count_messages);
            broken |= !world.rules.violation_counts.is_empty();
            print_run(&args, &scenario, seed, &world);
            if args.shrink && !world.rules.violation_counts.is_empty() {
                print_minimal_faults(&scenario, seed, &world);
            }
            rows.push(call_totals(&world));
        }
        if args.compare && !args.json {
            println!("seed {seed}: {}", difference(&rows));
        }
    }
    std::process::exit(if broken { EXIT_BROKEN } else { 0 });
}

/// Returns the scenario with additional faults drawn by the seed.
fn with_drawn_faults(scenario: &Scenario, seed: u64) -> Scenario {
    let mut out = scenario.clone();
    out.faults.extend(grebepath_simulator::chaos::chaos(seed, scenario));
    out
}

/// Prints the fewest faults that still break one of the rules that broke.
fn print_minimal_faults(scenario: &Scenario, seed: u64, world: &World) {
    let rules: Vec<u8> = world.rules.violation_counts.keys().copied().collect();
    let list = grebepath_simulator::chaos::shrink(&scenario.faults, |list| {
        let less = Scenario { faults: list.to_vec(), ..scenario.clone() };
        let world = play_counting_messages(&less, seed, None, false);
        rules.iter().any(|r| world.rules.violation_counts.contains_key(r))
    });
    println!("seed {seed}: {} of {} faults still fail:", list.len(), scenario.faults.len());
    for fault in &list {
        println!("  {:>6} ms {fault}", fault.at_ms);
    }
}

fn load(file: &str, deploy: &str) -> Result<Scenario, Vec<Diagnostic>> {
    let diagnostics = |text: String| vec![Diagnostic::new("$", text)];
    let text = std::fs::read(file).map_err(|e| diagnostics(e.to_string()))?;
    read(&text, &|name| read_json(&format!("{deploy}/{name}")))
}

fn print_run(args: &Args, scenario: &Scenario, seed: u64, world: &World) {
    if args.json {
        println!(
            "{}",
            json!({ "scenario": scenario.name, "seed": seed, "run": report::json(world) })
        );
    } else {
        println!("== {} (seed {seed}, {} s) ==", scenario.name, scenario.seconds);
        print!("{}", report::table(world));
    }
    for (kind, MessageCount { messages: n, bytes }) in world.net.message_counts.iter().flatten() {
        println!("  {kind:<32} {n:>9} messages {bytes:>12} bytes");
    }
    if args.event_log || !world.rules.violation_counts.is_empty() {
        for line in &world.rules.event_log {
            println!("  {line}");
        }
    }
}

/// Returns the numbers of complete, partial and other results of calls, and of retries.
fn call_totals(world: &World) -> [u64; 4] {
    let (mut full, mut partial, mut other) = (0, 0, 0);
    for outcomes in world.tallies.values() {
        full += outcomes.full;
        partial += outcomes.partial;
        other +=
            outcomes.rejected.values().sum::<u64>() + outcomes.unreachable + outcomes.timed_out;
    }
    [full, partial, other, world.rules.retries.len() as u64]
}

fn difference(rows: &[[u64; 4]]) -> String {
    let names = ["full", "partial", "other", "retries"];
    let [a, b] = rows else { return String::new() };
    let cells: Vec<String> = names
        .iter()
        .zip(a.iter().zip(b))
        .map(|(n, (a, b))| format!("{n} {a} -> {b} ({:+})", *b as i64 - *a as i64))
        .collect();
    cells.join(", ")
}
