//! Formats the results as text. Lines that begin with `~` contain the values that differ between
//! runs with the same seed: CPU time and this process's memory.

use std::fmt::Write;

use grebepath_core::time::{MILLI, SECOND, Span};

use crate::scale_model::measure::{Event, Findings, Totals};
use crate::scale_model::meter::{Count, Meter};

/// Formats the results for one size.
pub fn text(f: &Findings) -> String {
    let mut out = String::new();
    let o = &mut out;
    let _ = writeln!(o, "== {} members, {} leafs ==", f.size.members, f.size.leafs);
    let _ = writeln!(o, "state of a querier      {:>12} bytes", f.idle.querier_state);
    let _ = writeln!(o, "state of a controller   {:>12} bytes", f.idle.controller_state);
    let _ = writeln!(o, "committed state         {:>12} bytes", f.idle.stored);
    let _ = writeln!(o, "the platform's list     {:>12} bytes", f.idle.list_bytes);
    let _ = writeln!(o, "~ memory of the process {:>12} bytes", f.resident_bytes);
    let _ = writeln!(o, "~ time to build a view {:>13.2} ms", f.idle.view_ns as f64 / 1e6);
    let _ = writeln!(o, "alarms                  {:>12}", f.alarms);
    write_rates(o, &f.idle.sum);
    let _ = writeln!(o, "first start: converged after {}", span(f.start));
    write_totals(o, &f.start_sum, &f.start_sum, f.size.members);
    for (name, event) in &f.events {
        write_event(o, name, event, &f.idle.sum, f.size.members);
    }
    out
}

fn rate(n: u64, span: Span) -> f64 {
    n as f64 * SECOND as f64 / span.max(1) as f64
}

fn write_rates(o: &mut String, sum: &Totals) {
    let _ = writeln!(o, "idle for {} s, per second:", sum.span / SECOND);
    let _ = writeln!(o, "  {:<42} {:>12} {:>14}", "kind", "messages", "bytes");
    for ((link, kind), c) in &sum.traffic {
        let name = format!("{link} {kind}");
        let (n, bytes) = (rate(c.messages, sum.span), rate(c.bytes, sum.span));
        let _ = writeln!(o, "  {name:<42} {n:>12.1} {bytes:>14.0}");
    }
    let (n, bytes) =
        (rate(sum.list_polls.messages, sum.span), rate(sum.list_polls.bytes, sum.span));
    let _ = writeln!(o, "  {:<42} {n:>12.1} {bytes:>14.0}", "polls of the list");
    let _ = writeln!(o, "  {:<42} {:>12.1}", "probes of leafs", rate(sum.probes, sum.span));
    for (name, list) in [("querier", &sum.queriers), ("controller", &sum.controllers)] {
        write_role(o, name, list, sum.span);
    }
}

/// Writes the mean and the maximum over all nodes of a role.
fn write_role(o: &mut String, name: &str, list: &[Meter], span: Span) {
    let n = list.len().max(1) as f64;
    let both = |m: &Meter| m.sent.bytes + m.received.bytes;
    let mean = |f: &dyn Fn(&Meter) -> u64| list.iter().map(|m| rate(f(m), span)).sum::<f64>() / n;
    let most =
        |f: &dyn Fn(&Meter) -> u64| list.iter().map(|m| rate(f(m), span)).fold(0.0, f64::max);
    let _ = writeln!(
        o,
        "  a {name}: sent {:.1} messages {:.0} bytes, got {:.1} messages {:.0} bytes, \
         worst {:.0} bytes, {:.0} steps",
        mean(&|m| m.sent.messages),
        mean(&|m| m.sent.bytes),
        mean(&|m| m.received.messages),
        mean(&|m| m.received.bytes),
        most(&both),
        mean(&|m| m.steps),
    );
    let _ = writeln!(
        o,
        "~ a {name}: CPU {:.2}% in step, {:.2}% in encoding and decoding; worst {:.2}%",
        mean(&|m| m.step_ns) / 1e7,
        mean(&|m| m.codec_ns) / 1e7,
        most(&|m| m.step_ns + m.codec_ns) / 1e7,
    );
}

fn span(s: Option<Span>) -> String {
    s.map_or("never".into(), |s| format!("{} ms", s / MILLI))
}

fn write_event(o: &mut String, name: &str, e: &Event, idle: &Totals, members: usize) {
    let accepted = e.accepted.map_or(String::new(), |t| format!("accepted after {}, ", t / MILLI));
    let _ = writeln!(o, "{name}: {accepted}last member after {}", span(e.last));
    write_totals(o, &e.sum, &beyond_idle(&e.sum, idle), members);
}

/// Returns the totals beyond those of an idle interval of the same length.
fn beyond_idle(sum: &Totals, idle: &Totals) -> Totals {
    let part = |n: u64| (n as f64 * sum.span as f64 / idle.span.max(1) as f64) as u64;
    let mut out = sum.clone();
    for (key, cell) in &mut out.traffic {
        let base = idle.traffic.get(key).copied().unwrap_or(Count::default());
        cell.messages = cell.messages.saturating_sub(part(base.messages));
        cell.bytes = cell.bytes.saturating_sub(part(base.bytes));
    }
    out
}

/// Writes the kinds with the most bytes beyond idle, and the CPU time in total.
fn write_totals(o: &mut String, sum: &Totals, beyond_idle: &Totals, members: usize) {
    let mut list: Vec<_> = beyond_idle.traffic.iter().collect();
    list.sort_by_key(|(key, c)| (std::cmp::Reverse(c.bytes), **key));
    let n: u64 = list.iter().map(|(_, c)| c.messages).sum();
    let bytes: u64 = list.iter().map(|(_, c)| c.bytes).sum();
    let each = bytes / members.max(1) as u64;
    let _ = writeln!(o, "  beyond idle: {n} messages, {bytes} bytes, {each} bytes per member");
    for ((link, kind), c) in list.into_iter().take(4).filter(|(_, c)| c.bytes > 0) {
        let name = format!("{link} {kind}");
        let _ = writeln!(o, "    {name:<42} {:>10} messages {:>14} bytes", c.messages, c.bytes);
    }
    let disk: u64 = sum.controllers.iter().map(|m| m.disk.bytes).sum();
    let syncs: u64 = sum.controllers.iter().map(|m| m.disk.messages).sum();
    let _ = writeln!(o, "  disks of all controllers: {syncs} writes, {disk} bytes");
    let most = |list: &[Meter]| list.iter().map(|m| m.step_ns + m.codec_ns).max().unwrap_or(0);
    let _ = writeln!(
        o,
        "~ CPU time of the busiest: querier {:.1} ms, controller {:.1} ms, in {} ms",
        most(&sum.queriers) as f64 / 1e6,
        most(&sum.controllers) as f64 / 1e6,
        sum.span / MILLI,
    );
}
