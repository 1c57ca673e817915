//! The command line of a daemon: a table of flags, each of which can also be set in the settings
//! file.

use bpaf::{OptionParser, Parser, construct, long};

use super::EXIT_SETTINGS;
use super::reader::SettingsReader;

/// The flag that names the settings file.
const FILE_FLAG: Flag = Flag {
    name: "params",
    argument: "FILE",
    help: "JSON file with settings; flags take precedence",
};

/// The zone of the machine, a flag of all daemons.
pub const ZONE_FLAG: Flag =
    Flag { name: "zone", argument: "NAME", help: "the zone of this machine" };
/// The name of the cluster, a flag of all daemons.
pub const FLEET_FLAG: Flag = Flag {
    name: "fleet",
    argument: "NAME",
    help: "name of the cluster, the same for all its processes (grebe)",
};
/// The port of the seeds, a flag of all daemons.
pub const SEED_PORT_FLAG: Flag = Flag {
    name: "seed-port",
    argument: "N",
    help: "port of the seeds' inner addresses, in place of the ports in `seeds`",
};

/// A flag with one argument.
#[derive(Clone, Copy, Debug)]
pub struct Flag {
    /// Name on the command line. In the settings file, `_` replaces each `-`.
    pub name: &'static str,
    /// Placeholder of the argument in the help text.
    pub argument: &'static str,
    /// Description in the help text.
    pub help: &'static str,
}

/// A parsed command line.
#[derive(Clone, Debug)]
pub struct CommandLine {
    /// The given settings, by their names in the file.
    values: Vec<(String, String)>,
    /// The settings file, if one is given.
    pub file: Option<String>,
}

impl CommandLine {
    /// Parses this process's command line. Exits after `--help`, and with [`EXIT_SETTINGS`] if the
    /// command line is invalid.
    pub fn read_or_exit(description: &'static str, flags: &[Flag]) -> CommandLine {
        match parser(description, flags).run_inner(bpaf::Args::current_args()) {
            Ok(line) => line,
            Err(failure) => {
                failure.print_message(100);
                std::process::exit(if failure.exit_code() == 0 { 0 } else { EXIT_SETTINGS });
            }
        }
    }

    /// Parses this process's command line again, so that its settings file can be reloaded. Returns
    /// `None` if the command line is invalid.
    pub fn read_again(description: &'static str, flags: &[Flag]) -> Option<CommandLine> {
        parser(description, flags).run_inner(bpaf::Args::current_args()).ok()
    }

    /// Reads the settings file and returns a reader of the settings.
    pub fn into_reader(self) -> SettingsReader {
        SettingsReader::new(self.values, self.file.as_deref())
    }
}

/// Builds the parser of a command line. The help text lists the flags in the given order.
fn parser(description: &'static str, flags: &[Flag]) -> OptionParser<CommandLine> {
    let mut combined: Box<dyn Parser<Vec<(String, String)>>> = Box::new(bpaf::pure(Vec::new()));
    for flag in flags {
        let flag = *flag;
        let previous = combined;
        let value = argument(flag);
        let both = construct!(previous, value).map(move |(mut values, value)| {
            values.extend(value.map(|value| (flag.name.replace('-', "_"), value)));
            values
        });
        combined = Box::new(both);
    }
    let file = argument(FILE_FLAG);
    construct!(file, combined)
        .map(|(file, values)| CommandLine { values, file })
        .to_options()
        .descr(description)
}

fn argument(flag: Flag) -> impl Parser<Option<String>> {
    long(flag.name).help(flag.help).argument::<String>(flag.argument).optional()
}
