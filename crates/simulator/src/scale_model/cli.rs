//! The flags of `scale-model`, and its run.

use bpaf::{OptionParser, Parser, construct, long};
use grebepath_core::time::SECOND;

use crate::scale_model::fan;
use crate::scale_model::phases::{Measurements, measure};
use crate::scale_model::plan::Size;
use crate::scale_model::show;

/// What the caller wants.
pub struct Args {
    seed: u64,
    idle: u64,
    calm_only: bool,
    no_restarts: bool,
    fan: bool,
    sizes: Vec<Size>,
}

/// `members` or `members:leafs`; leafs in the proportion of issue 11 if unsaid.
fn size(text: String) -> Result<Size, String> {
    let (members, leafs) = text.split_once(':').unwrap_or((&text, ""));
    let members: usize = members.parse().map_err(|e| format!("`{members}`: {e}"))?;
    let leafs = match leafs {
        "" => members * 5_300 / 1_200,
        n => n.parse().map_err(|e| format!("`{n}`: {e}"))?,
    };
    if members == 0 || leafs == 0 {
        return Err("a size needs members and leafs".into());
    }
    Ok(Size { members, leafs })
}

/// The parser of the flags.
pub fn options() -> OptionParser<Args> {
    let seed = long("seed").help("the seed of the run").argument::<u64>("N").fallback(1);
    let idle = long("calm").help("seconds of calm to measure").argument::<u64>("N").fallback(20);
    let calm_only = long("calm-only").help("nothing but start and calm").switch();
    let no_restarts = long("no-restarts").help("no restarts of many").switch();
    let fan = long("fan").help("sizes are shards a query, and threads that share").switch();
    let sizes = bpaf::positional::<String>("MEMBERS[:LEAFS]")
        .help("a size to measure; without leafs, 5300 for 1200 members")
        .parse(size)
        .some("name a size");
    construct!(Args { seed, idle, calm_only, no_restarts, fan, sizes })
        .to_options()
        .descr("weighs control: the daemons' owners at a size, under a virtual clock")
}

/// Measures and prints each size.
pub fn run(args: &Args) {
    let wish = Measurements {
        idle: args.idle.max(1) * SECOND,
        single: !args.calm_only,
        restarts: !args.calm_only && !args.no_restarts,
    };
    for size in &args.sizes {
        if args.fan {
            print!("{}", fan::text(&fan::fan(size.members, size.leafs)));
            continue;
        }
        print!("{}", show::text(&measure(*size, args.seed, wish)));
    }
}
