//! Command line of `scale-model`.

use std::num::ParseIntError;

use bpaf::{OptionParser, Parser, construct, long};
use grebepath_core::time::SECOND;
use thiserror::Error;

use crate::scale_model::fan_out;
use crate::scale_model::measure::{Measurements, measure};
use crate::scale_model::report;
use crate::scale_model::topology::Size;

/// Parsed command-line arguments.
pub struct Args {
    seed: u64,
    idle: u64,
    calm_only: bool,
    no_restarts: bool,
    fan: bool,
    sizes: Vec<Size>,
}

/// A size argument that can't be parsed.
#[derive(Debug, Error)]
enum SizeError {
    /// A count is not an integer.
    #[error("`{text}`: {source}")]
    NotANumber {
        /// The text of the count.
        text: String,
        /// The parser's error.
        source: ParseIntError,
    },
    /// A count is zero.
    #[error("members and leafs must not be zero")]
    Empty,
}

fn count(text: &str) -> Result<usize, SizeError> {
    text.parse().map_err(|source| SizeError::NotANumber { text: text.to_string(), source })
}

/// Parses `members` or `members:leafs`; the default ratio of leafs is the one of issue 11.
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

/// Returns the command-line parser.
pub fn options() -> OptionParser<Args> {
    let seed = long("seed").help("seed of the run").argument::<u64>("N").fallback(1);
    let idle =
        long("calm").help("seconds of idle time to measure").argument::<u64>("N").fallback(20);
    let calm_only = long("calm-only").help("measure only the start and the idle time").switch();
    let no_restarts = long("no-restarts").help("skip the restarts of many nodes").switch();
    let fan = long("fan").help("sizes are shards per query and number of threads").switch();
    let sizes = bpaf::positional::<String>("MEMBERS[:LEAFS]")
        .help("a size to measure; the default is 5300 leafs per 1200 members")
        .parse(size)
        .some("at least one size is required");
    construct!(Args { seed, idle, calm_only, no_restarts, fan, sizes })
        .to_options()
        .descr("measures the control plane at a given size under a virtual clock")
}

/// Measures and prints each size.
pub fn run(args: &Args) {
    let measurements = Measurements {
        idle: args.idle.max(1) * SECOND,
        single: !args.calm_only,
        restarts: !args.calm_only && !args.no_restarts,
    };
    for size in &args.sizes {
        if args.fan {
            print!("{}", fan_out::text(&fan_out::measure(size.members, size.leafs)));
            continue;
        }
        print!("{}", report::text(&measure(*size, args.seed, measurements)));
    }
}
