//! Files on a small disk: slots and log of each part under one data folder.
//! A file lasts only once it is synced, and its folder too.

use std::fs::{self, File, OpenOptions};
use std::io::{Error, Write};
use std::path::{Path, PathBuf};

use grebepath_core::identifiers::PartitionId;
use grebepath_core::storage::reader::{Found, read};
use grebepath_core::storage::record::{LogRecord, ReplicaState};
use grebepath_core::storage::voter_file;
use grebepath_core::storage::voter_file::VoterFile;
use grebepath_core::storage::writer;

/// One part's files.
///
/// Invariants: `log` is open on the log that follows slot `seq`, or `None`
/// after trouble or before the first slot; then only a new slot helps.
pub struct Store {
    dir: PathBuf,
    part: PartitionId,
    seq: u64,
    log: Option<File>,
    num: u32,
}

/// Reads a part's folder, making it if it is not there.
pub fn open(data: &Path, part: PartitionId) -> Result<(Store, Found), Error> {
    let dir = data.join(format!("part-{}", part.0));
    if !dir.exists() {
        fs::create_dir_all(&dir)?;
        sync_dir(data)?;
    }
    let get = |name: &str| match fs::read(dir.join(name)) {
        Ok(raw) => Ok(Some(raw)),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    };
    let (zero, one, log) = (get("slot-0")?, get("slot-1")?, get("log")?);
    let mut found = read(part.0, [zero.as_deref(), one.as_deref()], log.as_deref());
    if found == Found::Empty && dir.join("damaged-0").exists() {
        // Set aside in an earlier start, and never formed since.
        found = Found::Damaged("its files were damaged and set aside earlier".into());
    }
    let seq = match &found {
        Found::Good { seq, .. } => *seq,
        Found::Empty => 0,
        Found::Damaged(_) => {
            // Kept for whoever wants to look; a new life begins beside it.
            set_aside(&dir)?;
            0
        }
    };
    // Appending begins only behind a slot of this life.
    Ok((Store { dir, part, seq, log: None, num: 0 }, found))
}

/// Whether a part has no files.
pub fn bare(data: &Path, part: PartitionId) -> bool {
    let dir = data.join(format!("part-{}", part.0));
    !["slot-0", "slot-1", "log"].iter().any(|n| dir.join(n).exists())
}

/// Reads a part's files again, from the disk itself as far as the system lets
/// us, and compares them with what was written. Tells what is wrong.
pub fn look(s: &Store) -> Option<String> {
    // After a trouble, or before the first slot, nothing is promised.
    s.log.as_ref()?;
    let get = |name: &str| -> Result<Option<Vec<u8>>, Error> {
        let mut file = match File::open(s.dir.join(name)) {
            Ok(file) => file,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(e),
        };
        // Pages in memory would hide what has become of the disk.
        let _ = rustix::fs::fadvise(&file, 0, None, rustix::fs::Advice::DontNeed);
        let mut raw = Vec::new();
        std::io::Read::read_to_end(&mut file, &mut raw)?;
        Ok(Some(raw))
    };
    let raw = (|| Ok::<_, Error>([get("slot-0")?, get("slot-1")?, get("log")?]))();
    let [zero, one, log] = match raw {
        Ok(raw) => raw,
        Err(e) => return Some(e.to_string()),
    };
    match read(s.part.0, [zero.as_deref(), one.as_deref()], log.as_deref()) {
        Found::Good { seq, records, torn, .. } if (seq, records, torn) == (s.seq, s.num, false) => {
            None
        }
        Found::Good { .. } => Some("what was written last is not there".into()),
        Found::Empty => Some("the files are gone".into()),
        Found::Damaged(why) => Some(why),
    }
}

fn set_aside(dir: &Path) -> Result<(), Error> {
    let mut n = 0;
    let mut to = dir.join("damaged-0");
    while to.exists() {
        n += 1;
        to = dir.join(format!("damaged-{n}"));
    }
    if !["slot-0", "slot-1", "log"].iter().any(|n| dir.join(n).exists()) {
        return Ok(());
    }
    fs::create_dir(&to)?;
    sync_dir(dir)?;
    for name in ["slot-0", "slot-1", "log"] {
        if dir.join(name).exists() {
            fs::rename(dir.join(name), to.join(name))?;
        }
    }
    sync_dir(&to)?;
    sync_dir(dir)
}

fn sync_dir(dir: &Path) -> Result<(), Error> {
    File::open(dir)?.sync_all()
}

/// Whether a record can be appended.
pub fn can_append(s: &Store) -> bool {
    s.log.is_some()
}

/// Appends a record; it lasts only after `sync`.
pub fn append(s: &mut Store, rec: &LogRecord) -> Result<(), Error> {
    let Some(log) = &mut s.log else {
        return Err(Error::other("no log is open since the last trouble"));
    };
    let raw = writer::rec(s.seq, s.num, rec);
    if let Err(e) = log.write_all(&raw) {
        s.log = None;
        return Err(e);
    }
    s.num += 1;
    Ok(())
}

/// Syncs what was appended.
pub fn sync(s: &mut Store) -> Result<(), Error> {
    let Some(log) = &s.log else {
        return Err(Error::other("no log is open since the last trouble"));
    };
    if let Err(e) = log.sync_data() {
        // What the kernel kept of it is unknown: never append behind it.
        s.log = None;
        return Err(e);
    }
    Ok(())
}

/// Writes the other slot with a whole copy and begins a new log.
pub fn slot(s: &mut Store, copy: &ReplicaState) -> Result<(), Error> {
    s.log = None;
    let seq = s.seq + 1;
    let path = s.dir.join(format!("slot-{}", seq % 2));
    write_synced(&path, &writer::slot(s.part.0, seq, copy))?;
    sync_dir(&s.dir)?;
    let new = s.dir.join("log.new");
    write_synced(&new, &writer::log_head(s.part.0, seq))?;
    fs::rename(&new, s.dir.join("log"))?;
    sync_dir(&s.dir)?;
    s.log = Some(OpenOptions::new().append(true).open(s.dir.join("log"))?);
    s.seq = seq;
    s.num = 0;
    Ok(())
}

fn write_synced(path: &Path, raw: &[u8]) -> Result<(), Error> {
    let mut file = File::create(path)?;
    file.write_all(raw)?;
    file.sync_all()
}

/// The file that holds the roll.
const ROLL: &str = "seats";

/// Reads the roll; a damaged one counts as none.
pub fn roll(data: &Path) -> Result<Option<VoterFile>, Error> {
    match fs::read(data.join(ROLL)) {
        Ok(raw) => Ok(voter_file::read(&raw)),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// Keeps the roll: written beside the old one, synced, renamed over it.
pub fn keep(data: &Path, roll: &VoterFile) -> Result<(), Error> {
    let new = data.join(format!("{ROLL}.new"));
    write_synced(&new, &voter_file::write(roll))?;
    fs::rename(&new, data.join(ROLL))?;
    sync_dir(data)
}

/// Sets a part's files aside: they are of a former life, and must not count.
pub fn clear(s: &mut Store) -> Result<(), Error> {
    s.log = None;
    set_aside(&s.dir)?;
    (s.seq, s.num) = (0, 0);
    Ok(())
}

/// Takes the data folder for this process alone, as long as the file lives.
pub fn lock(data: &Path) -> Result<File, Error> {
    fs::create_dir_all(data)?;
    let file =
        OpenOptions::new().create(true).truncate(false).write(true).open(data.join("lock"))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(e) => Err(Error::other(format!("another process uses this data folder: {e}"))),
    }
}
