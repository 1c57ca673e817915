//! Weighs what control costs at a size.

use grebepath_simulator::hollow::cli;

fn main() {
    cli::run(&cli::options().run());
}
