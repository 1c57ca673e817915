//! Logs. Each thread keeps its most recent lines in memory and writes all of them to stderr on an
//! event of level ERROR. Otherwise, only lines of level WARN are written.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::io::Write as _;
use std::time::Instant;

use tracing::field::{Field, Visit};
use tracing::{Event, Level, Metadata, Subscriber, span};

use grebepath_core::consts::LOG_BUFFER_LINES;

thread_local! {
    static LINES: RefCell<VecDeque<String>> = const { RefCell::new(VecDeque::new()) };
}

/// The subscriber that fills the threads' buffers.
struct LogBuffer {
    started_at: Instant,
}

/// Installs the log buffers for all threads of this process.
pub fn install() {
    // Fails only if a subscriber is installed already; that one stays in use.
    let _ = tracing::subscriber::set_global_default(LogBuffer { started_at: Instant::now() });
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

impl Subscriber for LogBuffer {
    fn enabled(&self, meta: &Metadata<'_>) -> bool {
        *meta.level() <= Level::DEBUG && !meta.target().starts_with("hyper")
    }

    fn new_span(&self, _: &span::Attributes<'_>) -> span::Id {
        span::Id::from_u64(1)
    }

    fn record(&self, _: &span::Id, _: &span::Record<'_>) {}

    fn record_follows_from(&self, _: &span::Id, _: &span::Id) {}

    fn event(&self, event: &Event<'_>) {
        let at = self.started_at.elapsed().as_millis();
        let mut line = Line(format!("{at:>8} ms {}", event.metadata().level()));
        event.record(&mut line);
        let level = *event.metadata().level();
        LINES.with_borrow_mut(|lines| {
            if lines.len() >= LOG_BUFFER_LINES {
                lines.pop_front();
            }
            lines.push_back(line.0);
            if level <= Level::WARN {
                flush(lines, if level == Level::ERROR { Extent::Buffer } else { Extent::LastLine });
            }
        });
    }

    fn enter(&self, _: &span::Id) {}

    fn exit(&self, _: &span::Id) {}
}

/// How much of the buffer is written.
enum Extent {
    LastLine,
    Buffer,
}

/// Writes the last line, or the whole buffer, which is cleared then. A closed stderr is ignored.
fn flush(lines: &mut VecDeque<String>, extent: Extent) {
    let mut err = std::io::stderr().lock();
    match extent {
        Extent::Buffer => {
            let _ = writeln!(err, "---- last {} lines ----", lines.len());
            for line in lines.drain(..) {
                let _ = writeln!(err, "{line}");
            }
            let _ = writeln!(err, "----");
        }
        Extent::LastLine => {
            if let Some(line) = lines.back() {
                let _ = writeln!(err, "{line}");
            }
        }
    }
}
