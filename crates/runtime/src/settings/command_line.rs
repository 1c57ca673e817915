//! The command line of a daemon: a table of flags, each of which may also stand in the
//! settings file.

use bpaf::{OptionParser, Parser, construct, long};

use super::EXIT_SETTINGS;
use super::reader::SettingsReader;

/// The flag that names the settings file.
const FILE_FLAG: Flag =
    Flag { name: "params", argument: "FILE", help: "JSON file with params; flags go first" };

/// The zone of the machine; each daemon has it.
pub const ZONE_FLAG: Flag =
    Flag { name: "zone", argument: "NAME", help: "the zone this machine stands in" };
/// The fleet's name; each daemon has it.
pub const FLEET_FLAG: Flag = Flag {
    name: "fleet",
    argument: "NAME",
    help: "the fleet's name, the same for all its processes (grebe)",
};
/// The port of the seeds; each daemon has it.
pub const SEED_PORT_FLAG: Flag = Flag {
    name: "seed-port",
    argument: "N",
    help: "port of the seeds' inner addresses, if `seeds` gives others",
};

/// A flag with one argument.
#[derive(Clone, Copy, Debug)]
pub struct Flag {
    /// Its name on the command line. In the file it has `_` for each `-`.
    pub name: &'static str,
    /// What its argument is, for the help text.
    pub argument: &'static str,
    /// A line of help.
    pub help: &'static str,
}

/// What a command line says.
#[derive(Clone, Debug)]
pub struct CommandLine {
    /// The settings that were given, by their names in the file.
    values: Vec<(String, String)>,
    /// The settings file, if one is named.
    pub file: Option<String>,
}

impl CommandLine {
    /// Reads this process's command line. Ends the process after `--help`, and with
    /// [`EXIT_SETTINGS`] if the command line is wrong.
    pub fn read_or_exit(description: &'static str, flags: &[Flag]) -> CommandLine {
        match parser(description, flags).run_inner(bpaf::Args::current_args()) {
            Ok(line) => line,
            Err(failure) => {
                failure.print_message(100);
                std::process::exit(if failure.exit_code() == 0 { 0 } else { EXIT_SETTINGS });
            }
        }
    }

    /// Reads this process's command line once more, for the file that it names.
    /// Nothing if it is wrong.
    pub fn read_again(description: &'static str, flags: &[Flag]) -> Option<CommandLine> {
        parser(description, flags).run_inner(bpaf::Args::current_args()).ok()
    }

    /// A reader of the settings, with the file as it is now.
    pub fn into_reader(self) -> SettingsReader {
        SettingsReader::new(self.values, self.file.as_deref())
    }
}

/// The parser of a command line; the help text lists the flags in their order.
fn parser(description: &'static str, flags: &[Flag]) -> OptionParser<CommandLine> {
    let mut all: Box<dyn Parser<Vec<(String, String)>>> = Box::new(bpaf::pure(Vec::new()));
    for flag in flags {
        let flag = *flag;
        let before = all;
        let value = argument(flag);
        let both = construct!(before, value).map(move |(mut values, value)| {
            values.extend(value.map(|value| (flag.name.replace('-', "_"), value)));
            values
        });
        all = Box::new(both);
    }
    let file = argument(FILE_FLAG);
    construct!(file, all)
        .map(|(file, values)| CommandLine { values, file })
        .to_options()
        .descr(description)
}

fn argument(flag: Flag) -> impl Parser<Option<String>> {
    long(flag.name).help(flag.help).argument::<String>(flag.argument).optional()
}
