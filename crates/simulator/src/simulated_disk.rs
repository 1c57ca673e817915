//! A disk under the virtual clock. It holds the very bytes that the real one
//! would, written and read by the same functions, and it can lose power in
//! the middle of anything.

use grebepath_core::identifiers::PartitionId;
use grebepath_core::random::Random;
use grebepath_core::storage::reader::{Found, read};
use grebepath_core::storage::record::{LogRecord, ReplicaState};
use grebepath_core::storage::voter_file;
use grebepath_core::storage::voter_file::VoterFile;
use grebepath_core::storage::writer;
use grebepath_core::time::{Span, Tick, ms};

/// One part's files and what is being written.
///
/// Invariant: `log` and `slots` are what a start would find now; jobs take
/// effect when they are done, or in part when power is lost.
#[derive(Clone, Default)]
pub struct Files {
    slots: [Option<Vec<u8>>; 2],
    log: Option<Vec<u8>>,
    seq: u64,
    num: u32,
    open: bool,
    aside: bool,
}

/// What a disk is asked.
#[derive(Clone)]
pub enum Job {
    Append(LogRecord),
    Slot(ReplicaState),
}

/// The health of a whole disk.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Health {
    Good,
    Slow(Span),
    Full,
    Stalled,
}

/// A machine's disk.
pub struct Disk {
    pub parts: Vec<Files>,
    pub health: Health,
    /// The file that holds the roll, and rolls on their way to it: token, roll,
    /// and whether the parts' files are set aside before.
    roll: Option<Vec<u8>>,
    rolls: Vec<(u64, VoterFile, bool)>,
    /// When the last job in line will be done.
    busy: Tick,
    /// Jobs that are under way: part, token, done at.
    line: Vec<(PartitionId, u64, Job)>,
}

impl Disk {
    /// An empty disk.
    pub fn new(parts: usize) -> Self {
        Disk {
            parts: vec![Files::default(); parts],
            health: Health::Good,
            roll: None,
            rolls: Vec::new(),
            busy: 0,
            line: Vec::new(),
        }
    }

    /// Puts a job in line; gives the time at which it will be done, or `None`
    /// while the disk stalls.
    pub fn begin(
        &mut self,
        now: Tick,
        part: PartitionId,
        token: u64,
        job: Job,
        random: &mut Random,
    ) -> Option<Tick> {
        let took = ms(1)
            + random.below(ms(3))
            + match self.health {
                Health::Slow(more) => more,
                _ => 0,
            };
        self.line.push((part, token, job));
        if self.health == Health::Stalled {
            return None;
        }
        self.busy = self.busy.max(now) + took;
        Some(self.busy)
    }

    /// Puts a roll in line, as `begin` does with what belongs to a part.
    pub fn keep(
        &mut self,
        now: Tick,
        token: u64,
        roll: VoterFile,
        clear: bool,
        random: &mut Random,
    ) -> Option<Tick> {
        self.rolls.push((token, roll, clear));
        let slow = if let Health::Slow(more) = self.health { more } else { 0 };
        let took = ms(1) + random.below(ms(3)) + slow;
        if self.health == Health::Stalled {
            return None;
        }
        self.busy = self.busy.max(now) + took;
        Some(self.busy)
    }

    /// A roll is kept, or could not be.
    pub fn kept(&mut self, token: u64) -> Option<Result<(), String>> {
        let at = self.rolls.iter().position(|(t, _, _)| *t == token)?;
        let (_, roll, clear) = self.rolls.remove(at);
        if self.health == Health::Full {
            return Some(Err("no space left on device".into()));
        }
        if clear {
            self.set_aside();
        }
        self.roll = Some(voter_file::write(&roll));
        Some(Ok(()))
    }

    /// Rolls that remain in line when a stall ends, oldest first.
    pub fn rolls(&self) -> Vec<u64> {
        self.rolls.iter().map(|(t, _, _)| *t).collect()
    }

    /// The roll as a start finds it; what was not kept is forgotten.
    pub fn roll(&mut self) -> Option<VoterFile> {
        self.rolls.clear();
        voter_file::read(self.roll.as_deref()?)
    }

    /// Writes the roll of a start, which waits for it.
    pub fn put_roll(&mut self, roll: &VoterFile, clear: bool) {
        if clear {
            self.set_aside();
        }
        self.roll = Some(voter_file::write(roll));
    }

    fn set_aside(&mut self) {
        for f in &mut self.parts {
            *f = Files { aside: f.aside || f.seq > 0, ..Files::default() };
        }
    }

    /// Whether no part has any files.
    pub fn bare(&self) -> bool {
        self.parts.iter().all(|f| f.slots.iter().all(Option::is_none) && f.log.is_none())
    }

    /// What remains in line when a stall ends, oldest first.
    pub fn waiting(&self) -> Vec<(PartitionId, u64)> {
        self.line.iter().map(|(p, t, _)| (*p, *t)).collect()
    }

    /// A job is done: it lasts now, or it failed.
    pub fn done(&mut self, part: PartitionId, token: u64) -> Option<Result<(), String>> {
        let at = self.line.iter().position(|(p, t, _)| *p == part && *t == token)?;
        let (_, _, job) = self.line.remove(at);
        let full = self.health == Health::Full;
        let files = &mut self.parts[part.0 as usize];
        if full {
            files.open = false;
            return Some(Err("no space left on device".into()));
        }
        Some(match job {
            Job::Append(_) if !files.open => Err("no log is open since the last trouble".into()),
            Job::Append(rec) => {
                let raw = writer::rec(files.seq, files.num, &rec);
                files.log.get_or_insert_default().extend(raw);
                files.num += 1;
                Ok(())
            }
            Job::Slot(copy) => {
                files.seq += 1;
                let raw = writer::slot(part.0, files.seq, &copy);
                files.slots[(files.seq % 2) as usize] = Some(raw);
                files.log = Some(writer::log_head(part.0, files.seq));
                files.num = 0;
                files.open = true;
                Ok(())
            }
        })
    }

    /// Power is lost: what was under way lasts in part, by chance.
    pub fn power_loss(&mut self, random: &mut Random) {
        let line = std::mem::take(&mut self.line);
        // A file that is renamed is there or it is not.
        for (_, roll, clear) in std::mem::take(&mut self.rolls) {
            if random.chance(1, 2) {
                break;
            }
            self.put_roll(&roll, clear);
        }
        let mut broken = vec![false; self.parts.len()];
        for (part, _, job) in line {
            let at = part.0 as usize;
            if broken[at] {
                continue;
            }
            broken[at] = !self.parts[at].partly(part, job, random);
        }
        self.busy = 0;
        for f in &mut self.parts {
            f.open = false;
        }
    }

    /// The machine is replaced by one with an empty disk.
    pub fn lose(&mut self) {
        *self = Disk::new(self.parts.len());
    }

    /// Flips one bit of what lies on the disk; false if nothing lies there.
    pub fn flip(&mut self, random: &mut Random) -> bool {
        let at = random.below(self.parts.len() as u64) as usize;
        let f = &mut self.parts[at];
        let newest = (f.seq % 2) as usize;
        let raw = match (&mut f.slots[newest], &mut f.log) {
            (_, Some(log)) if random.chance(1, 2) && log.len() > 40 => log,
            (Some(slot), _) => slot,
            _ => return false,
        };
        let i = random.below(raw.len() as u64) as usize;
        raw[i] ^= 1 << random.below(8);
        true
    }

    /// Reads the disk as a start does; a slot of this life comes first.
    pub fn start(&mut self) -> Vec<(PartitionId, Found)> {
        self.line.clear();
        self.busy = 0;
        let full = self.health == Health::Full;
        let mut out = Vec::new();
        for (i, f) in self.parts.iter_mut().enumerate() {
            let part = PartitionId(i as u32);
            let slots = [f.slots[0].as_deref(), f.slots[1].as_deref()];
            let mut found = read(part.0, slots, f.log.as_deref());
            if found == Found::Empty && f.aside {
                found = Found::Damaged("set aside earlier".into());
            }
            match &found {
                Found::Empty => *f = Files { aside: f.aside, ..Files::default() },
                Found::Damaged(_) => *f = Files { aside: true, ..Files::default() },
                Found::Good { copy, seq, .. } => {
                    f.seq = *seq;
                    f.open = false;
                    if !full {
                        f.seq += 1;
                        f.slots[(f.seq % 2) as usize] = Some(writer::slot(part.0, f.seq, copy));
                        f.log = Some(writer::log_head(part.0, f.seq));
                        f.num = 0;
                        f.open = true;
                    }
                }
            }
            out.push((part, found));
        }
        out
    }

    /// Reads a part's files again, as a running controller does.
    pub fn look(&self, part: PartitionId) -> Option<String> {
        let f = &self.parts[part.0 as usize];
        // What is under way behind this look may have begun to take effect.
        if !f.open || self.line.iter().any(|(p, _, _)| *p == part) {
            return None;
        }
        let slots = [f.slots[0].as_deref(), f.slots[1].as_deref()];
        match read(part.0, slots, f.log.as_deref()) {
            Found::Good { seq, records, torn, .. }
                if (seq, records, torn) == (f.seq, f.num, false) =>
            {
                None
            }
            Found::Good { .. } => Some("what was written last is not there".into()),
            Found::Empty => Some("the files are gone".into()),
            Found::Damaged(why) => Some(why),
        }
    }
}

impl Files {
    /// Lets a job take effect in part; true if all of it lasts.
    fn partly(&mut self, part: PartitionId, job: Job, random: &mut Random) -> bool {
        let whole = random.chance(1, 3);
        match job {
            Job::Append(_) if !self.open => false,
            Job::Append(rec) => {
                let mut raw = writer::rec(self.seq, self.num, &rec);
                if !whole {
                    let keep = random.below(raw.len() as u64) as usize;
                    if random.chance(1, 2) {
                        // The file's length came through, its bytes did not.
                        raw[keep..].fill(0);
                    } else {
                        raw.truncate(keep);
                    }
                }
                self.log.get_or_insert_default().extend(raw);
                self.num += 1;
                whole
            }
            Job::Slot(copy) => {
                let seq = self.seq + 1;
                let mut raw = writer::slot(part.0, seq, &copy);
                let torn = random.chance(1, 2);
                if torn {
                    raw.truncate(random.below(raw.len() as u64) as usize);
                }
                self.slots[(seq % 2) as usize] = Some(raw);
                if !torn {
                    self.seq = seq;
                    if whole {
                        self.log = Some(writer::log_head(part.0, seq));
                        self.num = 0;
                        return true;
                    }
                }
                false
            }
        }
    }
}
