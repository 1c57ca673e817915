//! Measures what the control plane costs at a size.

use grebepath_simulator::scale_model::cli;

fn main() {
    cli::run(&cli::options().run());
}
