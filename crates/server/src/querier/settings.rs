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

/// Maximum number of traffic threads of a querier.
const MAX_THREADS: u64 = 64;
/// Maximum slack of the retry budget and of the exposure limit, over the whole cluster.
const MAX_SLACK: u64 = 1_000_000;

const DESCRIPTION: &str = "grebepath's data plane";

/// The flags, in the order of the help text.
const FLAGS: [Flag; 19] = [
    Flag { name: "name", argument: "NAME", help: "this querier's name, unique in the cluster" },
    ZONE_FLAG,
    Flag { name: "listen", argument: "IP:PORT", help: "address for callers" },
    Flag { name: "inner", argument: "IP:PORT", help: "address for the other queriers" },
    Flag {
        name: "advertise",
        argument: "IP:PORT",
        help: "the inner address that other queriers connect to, if it differs",
    },
    FLEET_FLAG,
    Flag {
        name: "seeds",
        argument: "IP:PORT,..",
        help: "inner addresses of controllers, separated by commas",
    },
    Flag { name: "list", argument: "IP:PORT", help: "address of the platform's list of leafs" },
    Flag { name: "threads", argument: "N", help: "number of traffic threads (1)" },
    Flag {
        name: "dialect",
        argument: "NAME",
        help: "interface of callers, leafs and the list: own (default) or platform",
    },
    Flag {
        name: "check",
        argument: "IP:PORT",
        help: "address for readiness checks, if it differs from the listen address",
    },
    SEED_PORT_FLAG,
    Flag {
        name: "second-share",
        argument: "SHARE",
        help: "retries and hedges for each forwarded call, 0 to 1",
    },
    Flag {
        name: "second-slack",
        argument: "N",
        help: "retries and hedges beyond that share, over the whole cluster",
    },
    Flag {
        name: "exposure-share",
        argument: "SHARE",
        help: "share of a service's requests that may reach a version on trial, 0 to 1 (0.1)",
    },
    Flag {
        name: "exposure-slack",
        argument: "N",
        help: "requests beyond that share, over the whole cluster (0)",
    },
    Flag {
        name: "grace-s",
        argument: "S",
        help: "seconds from the stop request until the process must have ended",
    },
    Flag { name: "probes", argument: "W", help: "whether leafs are probed: on (default) or off" },
    Flag {
        name: "list-rate",
        argument: "N",
        help: "calls per second that the list accepts from all nodes together (40)",
    },
];

/// The settings of a querier.
#[derive(Clone)]
pub struct Settings {
    /// The querier's name, unique in the cluster.
    pub name: String,
    /// The zone of its machine.
    pub zone: String,
    /// Address at which it listens for callers.
    pub listen: SocketAddr,
    /// Address at which it listens for the other members.
    pub inner: SocketAddr,
    /// Address that the other members connect to, if it differs from `inner`.
    pub advertise: Option<SocketAddr>,
    /// Identifies the cluster; all processes of a cluster have the same number.
    pub cluster_hash: u64,
    /// Inner addresses of some controllers that are likely to be running.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's list of leafs.
    pub list: SocketAddr,
    /// Number of traffic threads.
    pub threads: u32,
    /// The platform's dialect; `None` for grebepath's own interface.
    pub platform_api: Option<&'static PlatformApi>,
    /// Address of the platform's readiness checks, if it differs from `listen`.
    pub check: Option<SocketAddr>,
    /// The cluster's retry budget for forwarded calls.
    pub retry_rate: RetryRate,
    /// How many requests may reach a version on trial.
    pub exposure_limit: ExposureLimit,
    /// Time from the stop request until the process must have ended.
    pub grace: Option<Span>,
    /// Whether leafs are probed for their state.
    pub probes: bool,
    /// Calls per second that the list accepts from all nodes together.
    pub list_rate: u64,
    /// The settings file, if one was given.
    pub file: Option<String>,
}

impl Settings {
    /// Reads and validates the settings; ends the process with exit code 2 if any is invalid.
    pub fn read_or_exit() -> Settings {
        let command_line = CommandLine::read_or_exit(DESCRIPTION, &FLAGS);
        let (settings, diagnostics) = Settings::read(command_line);
        exit_if_any("querier", &diagnostics);
        settings
    }

    /// Reads and validates the settings again while the process runs.
    pub fn reload() -> Result<Settings, Vec<Diagnostic>> {
        let command_line = CommandLine::read_again(DESCRIPTION, &FLAGS).ok_or_else(Vec::new)?;
        let (settings, diagnostics) = Settings::read(command_line);
        if diagnostics.is_empty() { Ok(settings) } else { Err(diagnostics) }
    }

    /// Reads all settings. Diagnostics are reported in the order of the calls to the reader.
    fn read(command_line: CommandLine) -> (Settings, Vec<Diagnostic>) {
        let file = command_line.file.clone();
        let reader = &mut command_line.into_reader();
        let seeds = reader.seeds(MAX_VOTER_SLOTS.into());
        let platform_api = reader.platform_api(&platform::DIALECT);
        let settings = Settings {
            name: reader.name("name"),
            cluster_hash: reader.cluster_hash(),
            advertise: reader.optional_address("advertise"),
            zone: reader.name("zone"),
            listen: reader.address("listen"),
            inner: reader.address("inner"),
            seeds,
            list: reader.address("list"),
            threads: reader.number("threads", 1, MAX_THREADS, Some(1)) as u32,
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
        slack: reader.bound("exposure_slack", MAX_SLACK, default.slack),
        ..default
    }
}

fn read_retry_rate(reader: &mut SettingsReader) -> RetryRate {
    let default = RetryRate::standard();
    RetryRate {
        per_thousand: reader.share_in_thousandths("second_share", default.per_thousand),
        cluster_slack: reader.bound("second_slack", MAX_SLACK, default.cluster_slack),
    }
}
