//! The command line tool for operators.

mod cli;
mod controller_client;
mod rollouts;
mod show;
mod verbs;

fn main() {
    let args = cli::read();
    let rt = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(rt) => rt,
        Err(e) => {
            eprintln!("grebectl: {e}");
            std::process::exit(cli::EXIT_FAILED);
        }
    };
    std::process::exit(rt.block_on(verbs::run(args)));
}
