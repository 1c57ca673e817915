//! Weighs what control costs at a size.

use sim::hollow::cli;

fn main() {
    cli::run(&cli::options().run());
}
