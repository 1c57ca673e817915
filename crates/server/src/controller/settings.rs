//! The controller's settings.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

use grebepath_core::consts::{DEFAULT_VOTER_SLOTS, MAX_VOTER_SLOTS};
use grebepath_core::diagnostic::Diagnostic;
use grebepath_core::storage::voter_file::Start;
use grebepath_runtime::platform_api::PlatformApi;
use grebepath_runtime::settings::command_line::{
    CommandLine, FLEET_FLAG, Flag, SEED_PORT_FLAG, ZONE_FLAG,
};
use grebepath_runtime::settings::reader::{SettingsReader, exit_if_any};

use crate::error::ControllerError;

/// The file in the data folder with the number of the voter slot that the folder belongs to.
const SLOT_FILE: &str = "seat";

const DESCRIPTION: &str = "grebepath's control plane";

/// The flags, in the order of the help text.
const FLAGS: [Flag; 12] = [
    Flag {
        name: "seat",
        argument: "N",
        help: "index of this controller in the seeds, from 0; without it, a free seat is taken",
    },
    ZONE_FLAG,
    Flag { name: "listen", argument: "IP:PORT", help: "address for operators" },
    Flag { name: "inner", argument: "IP:PORT", help: "address for the other processes" },
    Flag {
        name: "seeds",
        argument: "IP:PORT,..",
        help: "inner addresses of controllers, comma-separated; with --seat, of all, in seat order",
    },
    Flag {
        name: "first",
        argument: "true|false",
        help: "whether the cluster starts for the first time (false)",
    },
    Flag {
        name: "seats",
        argument: "N",
        help: "number of voting controllers, odd: twice the number that may fail, plus 1 (3)",
    },
    Flag {
        name: "bear",
        argument: "N",
        help: "number of voting controllers that may fail at once, instead of `seats`",
    },
    Flag { name: "data", argument: "DIR", help: "folder for this controller's files" },
    FLEET_FLAG,
    Flag {
        name: "dialect",
        argument: "NAME",
        help: "additional HTTP interface for operators: own (default, none) or platform",
    },
    SEED_PORT_FLAG,
];

/// The controller's settings.
#[derive(Clone)]
pub struct Settings {
    /// The controller's index in the seeds, if an operator assigns the voter slots.
    pub slot: Option<u8>,
    /// The zone of the machine.
    pub zone: String,
    /// The listen address for operators.
    pub listen: SocketAddr,
    /// The listen address for the other processes.
    pub inner: SocketAddr,
    /// The address that the other processes connect to: `inner` with the actual port.
    pub advertised: SocketAddr,
    /// Inner addresses of controllers. With `slot`, these are all controllers in the order of their
    /// slots. Otherwise, they are any controllers that are likely to run, and at the first start
    /// the initial voters.
    pub seeds: Vec<SocketAddr>,
    /// Whether the cluster starts for the first time.
    pub first: bool,
    /// The initial number of voter slots.
    pub slots: usize,
    /// The data folder.
    pub data: PathBuf,
    /// Hash of the name of the cluster, the same for all its processes.
    pub cluster_hash: u64,
    /// The additional HTTP interface for operators, if there is one.
    pub platform_api: Option<&'static PlatformApi>,
    /// The settings file, if there is one.
    pub file: Option<String>,
}

impl Settings {
    /// Reads and validates the settings. Exits with code 2 if they are invalid.
    pub fn read_or_exit() -> Settings {
        let line = CommandLine::read_or_exit(DESCRIPTION, &FLAGS);
        let (settings, diagnostics) = Settings::read_checked(line);
        exit_if_any("controller", &diagnostics);
        settings
    }

    /// Reads and validates the settings again while the process runs.
    pub fn read_again() -> Result<Settings, Vec<Diagnostic>> {
        let line = CommandLine::read_again(DESCRIPTION, &FLAGS).ok_or_else(Vec::new)?;
        let (settings, diagnostics) = Settings::read_checked(line);
        if diagnostics.is_empty() { Ok(settings) } else { Err(diagnostics) }
    }

    fn read_checked(line: CommandLine) -> (Settings, Vec<Diagnostic>) {
        let file = line.file.clone();
        let mut reader = line.into_reader();
        let settings = Settings { file, ..Settings::read(&mut reader) };
        settings.check(&mut reader);
        (settings, reader.finish())
    }

    /// Reads all settings, in the order in which diagnostics are reported.
    fn read(reader: &mut SettingsReader) -> Settings {
        let slots_max = u64::from(MAX_VOTER_SLOTS);
        let slot = reader.optional_number("seat", 0, slots_max - 1).map(|slot| slot as u8);
        let seeds = reader.seeds(MAX_VOTER_SLOTS.into());
        let inner = reader.address("inner");
        let platform_api = reader.platform_api(&platform::DIALECT);
        let losses = reader.number("bear", 0, (slots_max - 1) / 2, Some(DEFAULT_VOTER_SLOTS / 2));
        Settings {
            slot,
            cluster_hash: reader.cluster_hash(),
            zone: reader.name("zone"),
            listen: reader.address("listen"),
            inner,
            advertised: inner,
            seeds,
            first: reader.boolean("first", false),
            slots: reader.number("seats", 1, slots_max, Some(2 * losses + 1)) as usize,
            platform_api,
            data: PathBuf::from(reader.text("data", None)),
            file: None,
        }
    }

    /// Validates the settings against each other.
    fn check(&self, reader: &mut SettingsReader) {
        if self.slots.is_multiple_of(2) {
            reader.report("--seats", "expected an odd number");
        }
        if let Some(slot) = self.slot {
            self.check_given_slot(slot, reader);
        }
    }

    /// Validates the settings of a controller whose slot is assigned by an operator.
    fn check_given_slot(&self, slot: u8, reader: &mut SettingsReader) {
        if self.seeds.len().is_multiple_of(2) {
            reader.report("--seeds", "with --seat, expected an odd number of addresses");
        }
        match self.seeds.get(usize::from(slot)) {
            None => reader.report(
                "--seat",
                format!("must be less than {}, the number of seeds", self.seeds.len()),
            ),
            Some(seed) if self.inner.port() != 0 && *seed != self.inner => {
                let text = format!(
                    "seed {slot} is {seed}, but this controller's inner address is {}",
                    self.inner
                );
                reader.report("--seeds", text);
            }
            Some(_) => {}
        }
    }

    /// Returns the settings that determine the controller's identity at its start.
    pub fn start(&self) -> Start {
        Start {
            slot: self.slot,
            is_first_start: self.first,
            seeds: self.seeds.iter().map(|seed| seed.to_string()).collect(),
            size: self.slots,
            addr: self.advertised.to_string(),
        }
    }

    /// Checks that the data folder belongs to the voter slot in the settings, or assigns it to that
    /// slot if it belongs to none. The assignment is permanent: a controller that used the folder
    /// of another slot could vote twice.
    pub fn claim_data_folder(&self) -> Result<(), ControllerError> {
        let Some(slot) = self.slot else { return Ok(()) };
        let path = self.data.join(SLOT_FILE);
        match std::fs::read_to_string(&path) {
            Ok(text) if text.trim() == slot.to_string() => Ok(()),
            Ok(text) if !text.trim().is_empty() => Err(ControllerError::FolderOfAnotherSlot {
                folder: self.data.clone(),
                found: text.trim().to_string(),
                expected: slot,
            }),
            _ => {
                let mut file = std::fs::File::create(&path)?;
                writeln!(file, "{slot}")?;
                file.sync_all()?;
                std::fs::File::open(&self.data)?.sync_all()?;
                Ok(())
            }
        }
    }
}
