//! The querier's settings.

use std::net::SocketAddr;

use grebepath_core::consts::{self, MAX_VOTER_SLOTS};
use grebepath_core::diagnostic::Diagnostic;
use grebepath_core::query::service_retry_budget::RetryRate;
use grebepath_core::rollout::trial::ExposureLimit;
use grebepath_core::time::Span;
use grebepath_runtime::platform_api::PlatformApi;
use grebepath_runtime::settings::command_line::{
    CommandLine, FLEET_FLAG, Flag, SEED_PORT_FLAG, ZONE_FLAG,
};
use grebepath_runtime::settings::reader::{SettingsReader, exit_if_any};

/// Most traffic threads of a querier.
const THREADS_MAX: u64 = 64;
/// Most retries beyond the share that a fleet may be allowed.
const SLACK_MAX: u64 = 1_000_000;

const DESCRIPTION: &str = "grebepath's data plane";

/// The flags, in the order of the help text.
const FLAGS: [Flag; 19] = [
    Flag { name: "name", argument: "NAME", help: "this querier's name, its own in the fleet" },
    ZONE_FLAG,
    Flag { name: "listen", argument: "IP:PORT", help: "address for callers" },
    Flag { name: "inner", argument: "IP:PORT", help: "address for the other queriers" },
    Flag {
        name: "advertise",
        argument: "IP:PORT",
        help: "the inner address that others should use, if it is another",
    },
    FLEET_FLAG,
    Flag {
        name: "seeds",
        argument: "IP:PORT,..",
        help: "inner addresses of controllers, with commas",
    },
    Flag { name: "list", argument: "IP:PORT", help: "address of the platform's list of leafs" },
    Flag { name: "threads", argument: "N", help: "threads for traffic (1)" },
    Flag {
        name: "dialect",
        argument: "NAME",
        help: "how callers, leafs and the list speak: own (default) or platform",
    },
    Flag {
        name: "check",
        argument: "IP:PORT",
        help: "address at which readiness is asked, if it is another",
    },
    SEED_PORT_FLAG,
    Flag {
        name: "second-share",
        argument: "SHARE",
        help: "second tries for each call that is handed over, 0 to 1",
    },
    Flag {
        name: "second-slack",
        argument: "N",
        help: "second tries beyond that, over the whole fleet",
    },
    Flag {
        name: "exposure-share",
        argument: "SHARE",
        help: "share of a service's requests that may reach a version that is tried, 0 to 1 (0.1)",
    },
    Flag {
        name: "exposure-slack",
        argument: "N",
        help: "requests beyond that, over the whole fleet (0)",
    },
    Flag {
        name: "grace-s",
        argument: "S",
        help: "seconds from the wish to stop until the process must be gone",
    },
    Flag { name: "probes", argument: "W", help: "whether leafs are probed: on (default) or off" },
    Flag {
        name: "list-rate",
        argument: "N",
        help: "calls a second that the list takes from all nodes together (40)",
    },
];

/// Everything a querier must be told.
#[derive(Clone)]
pub struct Settings {
    /// Its name, its own in the fleet.
    pub name: String,
    /// The zone its machine stands in.
    pub zone: String,
    /// Where callers reach it.
    pub listen: SocketAddr,
    /// Where it listens for the other members.
    pub inner: SocketAddr,
    /// Where the other members reach it, if that is another address.
    pub advertise: Option<SocketAddr>,
    /// The fleet it belongs to; a number that all its processes share.
    pub fleet: u64,
    /// Inner addresses of controllers, any that are likely to be up.
    pub seeds: Vec<SocketAddr>,
    /// Where the platform serves its list of leafs.
    pub list: SocketAddr,
    /// Threads for traffic.
    pub threads: u32,
    /// How the world outside speaks; nothing for our own interface.
    pub platform_api: Option<&'static PlatformApi>,
    /// Where the platform asks whether it is ready, if not at `listen`.
    pub check: Option<SocketAddr>,
    /// The fleet's retry budget for calls that are forwarded.
    pub retry_rate: RetryRate,
    /// How much may reach a version that is tried.
    pub exposure_limit: ExposureLimit,
    /// Time from the request to stop until the process must be gone.
    pub grace: Option<Span>,
    /// Whether leafs are asked about themselves.
    pub probes: bool,
    /// Calls a second that the list takes from all nodes.
    pub list_rate: u64,
    /// The file that these came from.
    pub file: Option<String>,
}

impl Settings {
    /// Reads and checks the settings; ends the process with 2 if anything is wrong.
    pub fn read_or_exit() -> Settings {
        let line = CommandLine::read_or_exit(DESCRIPTION, &FLAGS);
        let (settings, diagnostics) = Settings::read(line);
        exit_if_any("querier", &diagnostics);
        settings
    }

    /// Reads and checks once more under a running process.
    pub fn read_again() -> Result<Settings, Vec<Diagnostic>> {
        let line = CommandLine::read_again(DESCRIPTION, &FLAGS).ok_or_else(Vec::new)?;
        let (settings, diagnostics) = Settings::read(line);
        if diagnostics.is_empty() { Ok(settings) } else { Err(diagnostics) }
    }

    /// Reads all settings. The order is that of the diagnostics.
    fn read(line: CommandLine) -> (Settings, Vec<Diagnostic>) {
        let file = line.file.clone();
        let reader = &mut line.into_reader();
        let seeds = reader.seeds(MAX_VOTER_SLOTS.into());
        let platform_api = reader.platform_api(&platform::DIALECT);
        let settings = Settings {
            name: reader.name("name"),
            fleet: reader.fleet_id(),
            advertise: reader.optional_address("advertise"),
            zone: reader.name("zone"),
            listen: reader.address("listen"),
            inner: reader.address("inner"),
            seeds,
            list: reader.address("list"),
            threads: reader.number("threads", 1, THREADS_MAX, Some(1)) as u32,
            platform_api,
            check: reader.optional_address("check"),
            retry_rate: read_retry_rate(reader),
            exposure_limit: read_exposure_limit(reader),
            grace: reader.optional_seconds("grace_s"),
            probes: reader.choice("probes", &["on", "off"], "on") == "on",
            list_rate: reader.positive_amount("list_rate", consts::DEFAULT_LEAF_LIST_RATE),
            file,
        };
        let diagnostics = reader.finish();
        (settings, diagnostics)
    }
}

fn read_exposure_limit(reader: &mut SettingsReader) -> ExposureLimit {
    let default = ExposureLimit::default();
    ExposureLimit {
        per_thousand: reader.share_in_thousandths("exposure_share", default.per_thousand),
        slack: reader.bound("exposure_slack", SLACK_MAX, default.slack),
        ..default
    }
}

fn read_retry_rate(reader: &mut SettingsReader) -> RetryRate {
    let default = RetryRate::standard();
    RetryRate {
        per_thousand: reader.share_in_thousandths("second_share", default.per_thousand),
        cluster_slack: reader.bound("second_slack", SLACK_MAX, default.cluster_slack),
    }
}
