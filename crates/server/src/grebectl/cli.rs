//! The command line parser and the exit codes.

use std::net::SocketAddr;

use bpaf::{OptionParser, Parser, construct, long, positional};
use thiserror::Error;

/// Success.
pub const EXIT_OK: i32 = 0;
/// No controller could be reached, or the request was definitely not applied.
pub const EXIT_FAILED: i32 = 1;
/// The command line is invalid.
pub const EXIT_USAGE: i32 = 2;
/// The configuration is invalid; diagnostics were printed.
pub const EXIT_INVALID: i32 = 3;
/// The current revision differs from the expected one.
pub const EXIT_CONFLICT: i32 = 4;
/// It is unknown whether the request was applied; it can be sent again under its id.
pub const EXIT_UNKNOWN: i32 = 5;
/// The request was accepted, but not all members applied it in time.
pub const EXIT_NOT_APPLIED_IN_TIME: i32 = 6;
/// `diff` found differences.
pub const EXIT_DIFFERS: i32 = 7;

/// The command to execute.
#[derive(Clone, Debug)]
pub enum Verb {
    Check { file: String },
    Apply { file: String },
    Patch { file: String },
    Get,
    Diff { file: String },
    Drain { zone: String },
    Undrain { zone: String },
    Status,
    Forget { member: String },
    ForceRecovery { controller: String },
    Explain { search: String, key: Option<String>, file: Option<String> },
    Rollout(RolloutVerb),
}

/// The rollout command to execute.
#[derive(Clone, Debug)]
pub enum RolloutVerb {
    /// Moves a service to a version.
    Start { service: String, version: String, over_s: f64 },
    /// Prints the newest rollout of a service, or of each service.
    Status { service: Option<String> },
    /// Ends a rollout and returns to the version that was in force before it.
    Abort { service: String },
    /// Prints all recorded rollouts of a service.
    History { service: String },
}

/// The parsed command line.
#[derive(Clone, Debug)]
pub struct Args {
    pub at: Option<String>,
    pub json: bool,
    /// Seconds to wait for all live members to apply the change.
    pub wait: Option<u64>,
    pub request: Option<String>,
    pub expect: Option<u64>,
    pub verb: Verb,
}

fn file() -> impl Parser<String> {
    positional::<String>("FILE").help("JSON file, - for standard input")
}

fn verb() -> impl Parser<Verb> {
    let check = file()
        .map(|file| Verb::Check { file })
        .to_options()
        .descr("validate a complete configuration without sending it")
        .command("check");
    let apply = file()
        .map(|file| Verb::Apply { file })
        .to_options()
        .descr("replace the configuration with this one")
        .command("apply");
    let patch = file()
        .map(|file| Verb::Patch { file })
        .to_options()
        .descr("set and remove individual objects")
        .command("patch");
    let get =
        bpaf::pure(Verb::Get).to_options().descr("print the configuration in force").command("get");
    let diff = file()
        .map(|file| Verb::Diff { file })
        .to_options()
        .descr("print how this configuration differs from the one in force")
        .command("diff");
    let zone = || positional::<String>("ZONE");
    let drain = zone()
        .map(|zone| Verb::Drain { zone })
        .to_options()
        .descr("drain a zone: its leafs get no new work")
        .command("drain");
    let undrain = zone()
        .map(|zone| Verb::Undrain { zone })
        .to_options()
        .descr("end the drain of a zone")
        .command("undrain");
    let status = bpaf::pure(Verb::Status)
        .to_options()
        .descr("print members, leaders, terms and the revision that each querier has applied")
        .command("status");
    let forget = positional::<String>("MEMBER")
        .map(|member| Verb::Forget { member })
        .to_options()
        .descr("remove a member that is permanently down")
        .command("forget");
    let force_recovery = positional::<String>("IP:PORT")
        .help("the controller whose disk was lost")
        .map(|controller| Verb::ForceRecovery { controller })
        .to_options()
        .descr("after the loss of two disks: force recovery from this controller's data")
        .command("vouch");
    let key = long("key").help("key of a lookup").argument("KEY").optional();
    let from = long("file").help("explain from this file, offline").argument("FILE").optional();
    let search = positional::<String>("SEARCH");
    let explain = construct!(key, from, search)
        .map(|(key, file, search)| Verb::Explain { search, key, file })
        .to_options()
        .descr("print the compiled plan of a search")
        .command("explain");
    let rollout = rollout_verb()
        .map(Verb::Rollout)
        .to_options()
        .descr("move a service to another version")
        .command("rollout");
    construct!([
        check,
        apply,
        patch,
        get,
        diff,
        drain,
        undrain,
        status,
        forget,
        force_recovery,
        explain,
        rollout
    ])
}

fn rollout_verb() -> impl Parser<RolloutVerb> {
    let service = || positional::<String>("SERVICE");
    let over_s =
        long("over").help("maximum duration of the rollout in seconds").argument::<f64>("SECONDS");
    let version = positional::<String>("VERSION");
    let start_service = service();
    let start = construct!(over_s, start_service, version)
        .map(|(over_s, service, version)| RolloutVerb::Start { service, version, over_s })
        .to_options()
        .descr("move a service to the leafs of a version")
        .command("start");
    let status = service()
        .optional()
        .map(|service| RolloutVerb::Status { service })
        .to_options()
        .descr("print the progress of the newest rollout of a service, or of each service")
        .command("status");
    let abort = service()
        .map(|service| RolloutVerb::Abort { service })
        .to_options()
        .descr("return to the version that was in force before")
        .command("abort");
    let history = service()
        .map(|service| RolloutVerb::History { service })
        .to_options()
        .descr("print the results of a service's rollouts, oldest first")
        .command("history");
    construct!([start, status, abort, history])
}

fn options() -> OptionParser<Args> {
    let at = long("at")
        .help("operators' addresses of the controllers, comma-separated")
        .env("GREBE_AT")
        .argument("IP:PORT,..")
        .optional();
    let json = long("output")
        .help("output format, json or text")
        .argument::<String>("FORM")
        .parse(|form| match form.as_str() {
            "json" => Ok(true),
            "text" => Ok(false),
            other => Err(format!("`{other}` is neither json nor text")),
        })
        .fallback(false);
    let wait = long("wait")
        .help("maximum number of seconds to wait for all live members to apply the change")
        .argument("SECONDS")
        .optional();
    let request = long("request-id")
        .help("id of the request; the same id makes a retry safe")
        .argument("ID")
        .optional();
    let expect = long("expect-revision")
        .help("apply the change only if this is the current revision")
        .argument("N")
        .optional();
    let verb = verb();
    construct!(Args { at, json, wait, request, expect, verb })
        .to_options()
        .descr("grebepath's command line for operators")
        .footer(
            "Exit codes: 0 success, 1 not applied or unreachable, 2 invalid usage, \
             3 invalid configuration, 4 revision conflict, 5 unknown outcome, \
             6 not applied by all members in time, 7 differences found",
        )
}

/// Parses the command line. Exits if it is invalid.
pub fn read() -> Args {
    match options().run_inner(bpaf::Args::current_args()) {
        Ok(args) => args,
        Err(e) => {
            e.print_message(100);
            std::process::exit(if e.exit_code() == 0 { EXIT_OK } else { EXIT_USAGE });
        }
    }
}

/// Why the controllers' addresses are unknown.
#[derive(Debug, Error)]
pub enum AddressError {
    /// Neither the flag nor the environment variable is set.
    #[error("no controller addresses: set --at or GREBE_AT")]
    Missing,
    /// An address can't be parsed.
    #[error("`{found}` is not an IP address with a port")]
    Unreadable {
        /// The text in place of an address.
        found: String,
    },
}

/// Returns the controllers' addresses.
pub fn addresses(args: &Args) -> Result<Vec<SocketAddr>, AddressError> {
    let text = args.at.as_ref().ok_or(AddressError::Missing)?;
    text.split(',')
        .map(|found| {
            let address = found.trim().parse();
            address.map_err(|_| AddressError::Unreadable { found: found.to_string() })
        })
        .collect()
}
