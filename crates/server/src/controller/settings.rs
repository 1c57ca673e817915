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

/// The file in the data folder that says to which voter slot the folder belongs.
const SLOT_FILE: &str = "seat";

const DESCRIPTION: &str = "grebepath's control plane";

/// The flags, in the order of the help text.
const FLAGS: [Flag; 12] = [
    Flag {
        name: "seat",
        argument: "N",
        help: "which of the seeds this is, from 0; without it a seat is found",
    },
    ZONE_FLAG,
    Flag { name: "listen", argument: "IP:PORT", help: "address for operators" },
    Flag { name: "inner", argument: "IP:PORT", help: "address for the other processes" },
    Flag {
        name: "seeds",
        argument: "IP:PORT,..",
        help: "inner addresses of controllers, with commas; with --seat all, by seat",
    },
    Flag {
        name: "first",
        argument: "true|false",
        help: "whether the whole fleet starts for the first time (false)",
    },
    Flag {
        name: "seats",
        argument: "N",
        help: "seats of the core, an odd number: twice the machines that may be lost, and 1 (3)",
    },
    Flag {
        name: "bear",
        argument: "N",
        help: "machines of the core that may be lost at once, instead of `seats`",
    },
    Flag { name: "data", argument: "DIR", help: "folder for this controller's files" },
    FLEET_FLAG,
    Flag {
        name: "dialect",
        argument: "NAME",
        help: "how operators may speak beside our own manner: own (default) or platform",
    },
    SEED_PORT_FLAG,
];

/// Everything a controller must be told.
#[derive(Clone)]
pub struct Settings {
    /// Which of the seeds it is, where an operator gives the voter slots away.
    pub slot: Option<u8>,
    /// The zone its machine stands in.
    pub zone: String,
    /// Where operators reach it.
    pub listen: SocketAddr,
    /// Where the other processes reach it.
    pub inner: SocketAddr,
    /// Where the other processes find it: `inner`, with the port it got.
    pub advertised: SocketAddr,
    /// Inner addresses of controllers: with `slot` all of them by their slots,
    /// else any that are likely to be up; at the first start those that begin.
    pub seeds: Vec<SocketAddr>,
    /// The fleet starts for the first time.
    pub first: bool,
    /// How many voter slots it begins with.
    pub slots: usize,
    /// The folder of its files.
    pub data: PathBuf,
    /// The fleet it belongs to; a number that all its processes share.
    pub fleet: u64,
    /// How operators speak beside our own interface.
    pub platform_api: Option<&'static PlatformApi>,
    /// The file that these came from.
    pub file: Option<String>,
}

impl Settings {
    /// Reads and checks the settings; ends the process with 2 if anything is wrong.
    pub fn read_or_exit() -> Settings {
        let line = CommandLine::read_or_exit(DESCRIPTION, &FLAGS);
        let (settings, diagnostics) = Settings::read_checked(line);
        exit_if_any("controller", &diagnostics);
        settings
    }

    /// Reads and checks once more under a running process.
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

    /// Reads all settings. The order is that of the diagnostics.
    fn read(reader: &mut SettingsReader) -> Settings {
        let slots_max = u64::from(MAX_VOTER_SLOTS);
        let slot = reader.optional_number("seat", 0, slots_max - 1).map(|slot| slot as u8);
        let seeds = reader.seeds(MAX_VOTER_SLOTS.into());
        let inner = reader.address("inner");
        let platform_api = reader.platform_api(&platform::DIALECT);
        let losses = reader.number("bear", 0, (slots_max - 1) / 2, Some(DEFAULT_VOTER_SLOTS / 2));
        Settings {
            slot,
            fleet: reader.fleet_id(),
            zone: reader.name("zone"),
            listen: reader.address("listen"),
            inner,
            advertised: inner,
            seeds,
            first: reader.yes_or_no("first", false),
            slots: reader.number("seats", 1, slots_max, Some(2 * losses + 1)) as usize,
            platform_api,
            data: PathBuf::from(reader.text("data", None)),
            file: None,
        }
    }

    /// Checks what must hold between settings.
    fn check(&self, reader: &mut SettingsReader) {
        if self.slots.is_multiple_of(2) {
            reader.report("--seats", "expected an odd number");
        }
        if let Some(slot) = self.slot {
            self.check_given_slot(slot, reader);
        }
    }

    /// What must hold where an operator gives the voter slots away.
    fn check_given_slot(&self, slot: u8, reader: &mut SettingsReader) {
        if self.seeds.len().is_multiple_of(2) {
            reader.report("--seeds", "with --seat, expected an odd number of addresses");
        }
        match self.seeds.get(usize::from(slot)) {
            None => reader.report("--seat", format!("there are {} seeds", self.seeds.len())),
            Some(seed) if self.inner.port() != 0 && *seed != self.inner => {
                let text = format!(
                    "seed {slot} is {seed}, but this seat's inner address is {}",
                    self.inner
                );
                reader.report("--seeds", text);
            }
            Some(_) => {}
        }
    }

    /// What decides who this controller is at its start.
    pub fn start(&self) -> Start {
        Start {
            slot: self.slot,
            is_first_start: self.first,
            seeds: self.seeds.iter().map(|seed| seed.to_string()).collect(),
            size: self.slots,
            addr: self.advertised.to_string(),
        }
    }

    /// Checks that the data folder belongs to the voter slot that the settings name, or
    /// gives it to that slot. It belongs to one for ever: used by another, it would vote
    /// twice.
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
