//! Logs: each thread keeps its last lines in memory and writes them out when
//! something goes wrong (an event of level ERROR). Nothing else is written,
//! but for lines of level WARN and above themselves.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::io::Write as _;
use std::time::Instant;

use tracing::field::{Field, Visit};
use tracing::{Event, Level, Metadata, Subscriber, span};

use grebepath_core::consts::RING_LINES;

thread_local! {
    static RING: RefCell<VecDeque<String>> = const { RefCell::new(VecDeque::new()) };
}

/// The subscriber that fills the rings.
struct NeighbourRing {
    zero: Instant,
}

/// Installs the ring for all threads of this process.
pub fn install() {
    // Fails only if one is installed already, and then that one serves.
    let _ = tracing::subscriber::set_global_default(NeighbourRing { zero: Instant::now() });
}

struct Line(String);

impl Visit for Line {
    fn record_debug(&mut self, field: &Field, val: &dyn std::fmt::Debug) {
        let _ = match field.name() {
            "message" => write!(self.0, " {val:?}"),
            name => write!(self.0, " {name}={val:?}"),
        };
    }
}

impl Subscriber for NeighbourRing {
    fn enabled(&self, meta: &Metadata<'_>) -> bool {
        *meta.level() <= Level::DEBUG && !meta.target().starts_with("hyper")
    }

    fn new_span(&self, _: &span::Attributes<'_>) -> span::Id {
        span::Id::from_u64(1)
    }

    fn record(&self, _: &span::Id, _: &span::Record<'_>) {}

    fn record_follows_from(&self, _: &span::Id, _: &span::Id) {}

    fn event(&self, event: &Event<'_>) {
        let at = self.zero.elapsed().as_millis();
        let mut line = Line(format!("{at:>8} ms {}", event.metadata().level()));
        event.record(&mut line);
        let level = *event.metadata().level();
        RING.with_borrow_mut(|ring| {
            if ring.len() >= RING_LINES {
                ring.pop_front();
            }
            ring.push_back(line.0);
            if level <= Level::WARN {
                write_out(ring, level == Level::ERROR);
            }
        });
    }

    fn enter(&self, _: &span::Id) {}

    fn exit(&self, _: &span::Id) {}
}

/// Writes the last line, or the whole ring; a closed stderr is no trouble.
fn write_out(ring: &mut VecDeque<String>, whole: bool) {
    let mut err = std::io::stderr().lock();
    if whole {
        let _ = writeln!(err, "---- last {} lines ----", ring.len());
        for line in ring.drain(..) {
            let _ = writeln!(err, "{line}");
        }
        let _ = writeln!(err, "----");
    } else if let Some(line) = ring.back() {
        let _ = writeln!(err, "{line}");
    }
}
