//! Words of the command line, and exit codes.

use std::net::SocketAddr;

use bpaf::{OptionParser, Parser, construct, long, positional};
use thiserror::Error;

/// All is well.
pub const EXIT_OK: i32 = 0;
/// Nobody could be reached, or the request was certainly not applied.
pub const EXIT_FAILED: i32 = 1;
/// The command line is wrong.
pub const EXIT_USAGE: i32 = 2;
/// The configuration is wrong; findings were printed.
pub const EXIT_INVALID: i32 = 3;
/// The revision has moved on from the expected one.
pub const EXIT_CONFLICT: i32 = 4;
/// It is unknown whether the request was applied; ask again with its id.
pub const EXIT_UNKNOWN: i32 = 5;
/// Accepted, but not every member obeyed in time.
pub const EXIT_NOT_APPLIED_IN_TIME: i32 = 6;
/// `diff` found differences.
pub const EXIT_DIFFERS: i32 = 7;

/// What is wanted.
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

/// What is wanted of rollouts.
#[derive(Clone, Debug)]
pub enum RolloutVerb {
    /// Move a service to a version.
    Start { service: String, version: String, over_s: f64 },
    /// The newest rollout of a service, or of all.
    Status { service: Option<String> },
    /// End a rollout with the version in force that was before.
    Abort { service: String },
    /// All rollouts of a service that are remembered.
    History { service: String },
}

/// The whole command line.
#[derive(Clone, Debug)]
pub struct Args {
    pub at: Option<String>,
    pub json: bool,
    /// Seconds to wait until every live member obeys.
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
        .descr("check a whole configuration without sending it")
        .command("check");
    let apply = file()
        .map(|file| Verb::Apply { file })
        .to_options()
        .descr("replace the configuration by this one")
        .command("apply");
    let patch = file()
        .map(|file| Verb::Patch { file })
        .to_options()
        .descr("set and remove single objects")
        .command("patch");
    let get =
        bpaf::pure(Verb::Get).to_options().descr("print the configuration in force").command("get");
    let diff = file()
        .map(|file| Verb::Diff { file })
        .to_options()
        .descr("how this configuration differs from the one in force")
        .command("diff");
    let zone = || positional::<String>("ZONE");
    let drain = zone()
        .map(|zone| Verb::Drain { zone })
        .to_options()
        .descr("empty a zone: its leafs get no new work")
        .command("drain");
    let undrain = zone()
        .map(|zone| Verb::Undrain { zone })
        .to_options()
        .descr("fill a zone again")
        .command("undrain");
    let status = bpaf::pure(Verb::Status)
        .to_options()
        .descr("members, owners, epochs and the revision each querier obeys")
        .command("status");
    let forget = positional::<String>("MEMBER")
        .map(|member| Verb::Forget { member })
        .to_options()
        .descr("a member that is down for good: count it no longer")
        .command("forget");
    let force_recovery = positional::<String>("IP:PORT")
        .help("the controller whose disk was lost")
        .map(|controller| Verb::ForceRecovery { controller })
        .to_options()
        .descr("after the loss of two disks: let this controller begin from what is left")
        .command("vouch");
    let key = long("key").help("the key of a lookup").argument("KEY").optional();
    let from = long("file").help("explain from this file, offline").argument("FILE").optional();
    let search = positional::<String>("SEARCH");
    let explain = construct!(key, from, search)
        .map(|(key, file, search)| Verb::Explain { search, key, file })
        .to_options()
        .descr("the plan that a search compiles to")
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
    let over_s = long("over").help("seconds within which it is to end").argument::<f64>("SECONDS");
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
        .descr("how far the newest rollout of a service is, or of each")
        .command("status");
    let abort = service()
        .map(|service| RolloutVerb::Abort { service })
        .to_options()
        .descr("go back to the version that was in force before")
        .command("abort");
    let history = service()
        .map(|service| RolloutVerb::History { service })
        .to_options()
        .descr("what came of the rollouts of a service, the oldest first")
        .command("history");
    construct!([start, status, abort, history])
}

fn options() -> OptionParser<Args> {
    let at = long("at")
        .help("operators' addresses of the controllers, with commas")
        .env("GREBE_AT")
        .argument("IP:PORT,..")
        .optional();
    let json = long("output")
        .help("json or text")
        .argument::<String>("FORM")
        .parse(|form| match form.as_str() {
            "json" => Ok(true),
            "text" => Ok(false),
            other => Err(format!("`{other}` is neither json nor text")),
        })
        .fallback(false);
    let wait = long("wait")
        .help("wait up to so many seconds until every live member obeys")
        .argument("SECONDS")
        .optional();
    let request = long("request-id").help("id under which to send").argument("ID").optional();
    let expect = long("expect-revision").help("change only this revision").argument("N").optional();
    let verb = verb();
    construct!(Args { at, json, wait, request, expect, verb })
        .to_options()
        .descr("grebepath's command line for operators")
        .footer(
            "Exit codes: 0 well, 1 not applied or unreachable, 2 wrong usage, 3 findings, \
             4 revision moved, 5 unknown outcome, 6 not all obeyed in time, 7 diff found some",
        )
}

/// Reads the command line; ends the process when it is wrong.
pub fn read() -> Args {
    match options().run_inner(bpaf::Args::current_args()) {
        Ok(args) => args,
        Err(e) => {
            e.print_message(100);
            std::process::exit(if e.exit_code() == 0 { EXIT_OK } else { EXIT_USAGE });
        }
    }
}

/// Why it is unknown where the controllers are.
#[derive(Debug, Error)]
pub enum AddressError {
    /// Neither the flag nor the environment says it.
    #[error("say where the controllers are: --at or GREBE_AT")]
    Missing,
    /// One of them can't be read.
    #[error("`{found}` is not an IP address with a port")]
    Unreadable {
        /// What stands in its place.
        found: String,
    },
}

/// The controllers' addresses.
pub fn addresses(args: &Args) -> Result<Vec<SocketAddr>, AddressError> {
    let text = args.at.as_ref().ok_or(AddressError::Missing)?;
    text.split(',')
        .map(|found| {
            let address = found.trim().parse();
            address.map_err(|_| AddressError::Unreadable { found: found.to_string() })
        })
        .collect()
}
