//! The flags of `scale-model`, and its run.

use std::num::ParseIntError;

use bpaf::{OptionParser, Parser, construct, long};
use grebepath_core::time::SECOND;
use thiserror::Error;

use crate::scale_model::fan_out;
use crate::scale_model::measure::{Measurements, measure};
use crate::scale_model::report;
use crate::scale_model::topology::Size;

/// What the caller wants.
pub struct Args {
    seed: u64,
    idle: u64,
    calm_only: bool,
    no_restarts: bool,
    fan: bool,
    sizes: Vec<Size>,
}

/// Why a size can't be read.
#[derive(Debug, Error)]
enum SizeError {
    /// A count is no whole number.
    #[error("`{text}`: {source}")]
    NotANumber {
        /// What stands there.
        text: String,
        /// What is wrong with it.
        source: ParseIntError,
    },
    /// A count is zero.
    #[error("a size needs members and leafs")]
    Empty,
}

fn count(text: &str) -> Result<usize, SizeError> {
    text.parse().map_err(|source| SizeError::NotANumber { text: text.to_string(), source })
}

/// `members` or `members:leafs`; leafs in the proportion of issue 11 if unsaid.
fn size(text: String) -> Result<Size, SizeError> {
    let (members, leafs) = text.split_once(':').unwrap_or((&text, ""));
    let members = count(members)?;
    let leafs = match leafs {
        "" => members * 5_300 / 1_200,
        named => count(named)?,
    };
    if members == 0 || leafs == 0 {
        return Err(SizeError::Empty);
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
            print!("{}", fan_out::text(&fan_out::measure(size.members, size.leafs)));
            continue;
        }
        print!("{}", report::text(&measure(*size, args.seed, wish)));
    }
}
