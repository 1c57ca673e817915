//! One process of a local cluster.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use super::Layout;
use super::error::LocalClusterError;

/// Shell that starts a program with a limit on file sizes.
const SHELL: &str = "sh";
/// Interval of the checks whether a process has ended.
const END_PAUSE: Duration = Duration::from_millis(10);

/// A process of the cluster, running or not.
pub struct Process {
    /// The process's name in the cluster.
    pub name: String,
    pub(super) args: Vec<String>,
    program: PathBuf,
    /// Handle of the running process, if it runs.
    pub child: Option<Child>,
    /// The line that it printed when it was ready.
    pub ready_line: String,
    log: PathBuf,
}

impl Process {
    /// Creates a process of a program in the folder `bin`, without starting it.
    pub fn new(layout: &Layout, name: &str, program: &str, args: Vec<String>) -> Process {
        Process {
            name: name.to_string(),
            args,
            program: layout.bin.join(program),
            child: None,
            ready_line: String::new(),
            log: layout.dir.join(format!("{name}.log")),
        }
    }

    fn daemon(layout: &Layout, name: &str, program: &str, settings: &[(&str, String)]) -> Process {
        let folder = layout.daemons.as_ref().unwrap_or(&layout.bin);
        let process = Process::new(layout, name, program, flags(&[], settings));
        Process { program: folder.join(program), ..process }
    }

    /// Creates a controller with the given settings, without starting it.
    pub fn controller(layout: &Layout, name: &str, settings: &[(&str, String)]) -> Process {
        Process::daemon(layout, name, "controller", settings)
    }

    /// Creates a querier with the given settings, without starting it.
    pub fn querier(layout: &Layout, name: &str, settings: &[(&str, String)]) -> Process {
        Process::daemon(layout, name, "querier", settings)
    }

    /// Starts the process and waits for its ready line.
    pub fn start(&mut self) -> Result<(), LocalClusterError> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log =
            log.map_err(|source| LocalClusterError::File { path: self.log.clone(), source })?;
        let mut child = Command::new(&self.program)
            .args(&self.args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(|source| LocalClusterError::File { path: self.program.clone(), source })?;
        let out = child.stdout.take().expect("stdout is piped");
        let mut line = String::new();
        // An empty line means that the process ended without printing one.
        BufReader::new(out).read_line(&mut line)?;
        self.child = Some(child);
        if line.is_empty() {
            let log = std::fs::read_to_string(&self.log).unwrap_or_default();
            return Err(LocalClusterError::NotUp { process: self.name.clone(), log });
        }
        self.ready_line = line;
        Ok(())
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends the process a signal by name (`TERM`, `STOP`, `CONT`).
    pub fn signal(&self, name: &str) -> Result<(), LocalClusterError> {
        let Some(child) = &self.child else {
            return Err(LocalClusterError::NotRunning { process: self.name.clone() });
        };
        let status =
            Command::new("kill").args([format!("-{name}"), child.id().to_string()]).status()?;
        if status.success() {
            Ok(())
        } else {
            Err(LocalClusterError::Signal { signal: name.to_string() })
        }
    }

    /// Waits for the process to end. Returns its exit code, or `None` after `wait`.
    pub fn wait_for_end(&mut self, wait: Duration) -> Option<i32> {
        let end = Instant::now() + wait;
        let child = self.child.as_mut()?;
        loop {
            if let Ok(Some(status)) = child.try_wait() {
                self.child = None;
                return status.code();
            }
            if Instant::now() >= end {
                return None;
            }
            std::thread::sleep(END_PAUSE);
        }
    }

    /// Limits the size of the files that the process writes to a number of 512-byte blocks, with
    /// effect from its next start: its disk then behaves like a full one. `None` lifts the limit.
    pub fn limit_file_size(&mut self, blocks: Option<u32>) {
        if self.program.as_os_str() == SHELL {
            self.program = PathBuf::from(self.args[2].clone());
            self.args.drain(..3);
        }
        if let Some(n) = blocks {
            let script = format!("trap '' XFSZ; ulimit -S -f {n}; exec \"$0\" \"$@\"");
            let program = std::mem::replace(&mut self.program, SHELL.into());
            let program = program.display().to_string();
            self.args.splice(0..0, ["-c".to_string(), script, program]);
        }
    }

    /// Lifts the limit on file sizes of the running process: its disk has free space again.
    pub fn lift_file_size_limit(&self) -> Result<(), LocalClusterError> {
        use rustix::process::{Pid, Resource, Rlimit, getrlimit, prlimit};
        let child = self.child.as_ref();
        let pid = child.and_then(|child| Pid::from_raw(child.id().cast_signed()));
        let Some(pid) = pid else {
            return Err(LocalClusterError::NotRunning { process: self.name.clone() });
        };
        // Only the soft limit was lowered. The others were inherited from this process.
        let own: Rlimit = getrlimit(Resource::Fsize);
        prlimit(Some(pid), Resource::Fsize, own).map_err(std::io::Error::from)?;
        Ok(())
    }

    /// Returns the first line that the process printed since its last start.
    pub fn ready_line(&self) -> &str {
        &self.ready_line
    }

    /// Returns the argument of a flag on the process's command line.
    pub fn argument(&self, flag: &'static str) -> Result<String, LocalClusterError> {
        let at = self.args.iter().position(|arg| arg == flag);
        let argument = at.and_then(|at| self.args.get(at + 1)).cloned();
        argument.ok_or(LocalClusterError::NoFlag { flag })
    }
}

/// Builds a command line: words, followed by flags with one argument each.
pub(super) fn flags(words: &[&str], pairs: &[(&str, String)]) -> Vec<String> {
    let pairs = pairs.iter().flat_map(|(name, value)| [format!("--{name}"), value.clone()]);
    words.iter().map(|word| word.to_string()).chain(pairs).collect()
}
