//! Measures the cost of the control plane at a given cluster size.

use grebepath_simulator::scale_model::cli;

fn main() {
    cli::run(&cli::options().run());
}
