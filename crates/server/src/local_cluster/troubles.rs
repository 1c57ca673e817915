//! Troubles for a fleet of real processes, by the clock.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use testbed::local_cluster;
use testbed::local_cluster::{Fleet, Proc, kill, signal, start};

struct Trouble {
    at: f64,
    word: String,
    arg: String,
}

fn parse(text: &str) -> Result<Trouble, String> {
    let mut cells = text.splitn(3, ':');
    let at = cells.next().and_then(|t| t.parse().ok());
    let at = at.ok_or(format!("{text}: begins with no time in seconds"))?;
    let word = cells.next().unwrap_or_default().to_string();
    Ok(Trouble { at, word, arg: cells.next().unwrap_or_default().to_string() })
}

/// Lets all troubles befall the fleet, each at its time.
pub async fn befall(f: &mut Fleet, list: &[String]) -> Result<(), String> {
    let mut all = list.iter().map(|t| parse(t)).collect::<Result<Vec<_>, _>>()?;
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    let begun = Instant::now();
    for (n, t) in all.into_iter().enumerate() {
        let at = begun + Duration::from_secs_f64(t.at);
        tokio::time::sleep_until(at.into()).await;
        eprintln!("{:>7.2} s {} {}", begun.elapsed().as_secs_f64(), t.word, t.arg);
        one(f, &t, n).await.map_err(|e| format!("{} {}: {e}", t.word, t.arg))?;
    }
    Ok(())
}

async fn one(f: &mut Fleet, t: &Trouble, n: usize) -> Result<(), String> {
    match t.word.as_str() {
        "drain" | "undrain" => {
            let state = if t.word == "drain" { "drained" } else { "open" };
            let val = json!({ "zones": [{ "name": t.arg, "state": state }] });
            return local_cluster::patch(f, &val, &format!("trouble-{n}")).await.map(|_| ());
        }
        "leafs" => {
            let val: Value = serde_json::from_str(&t.arg).map_err(|e| e.to_string())?;
            return local_cluster::order(f, val).await.map(|_| ());
        }
        _ => {}
    }
    let Some((verb, kind)) = t.word.split_once('-') else {
        return Err("unknown word".into());
    };
    let at = if t.arg == "owner" {
        local_cluster::config_owner(f).await.ok_or("the configuration has no owner")?
    } else {
        t.arg.parse::<usize>().map_err(|_| "expected a number or `owner`")?
    };
    let list = if kind == "querier" { &mut f.queriers } else { &mut f.seats };
    let p: &mut Proc = list.get_mut(at).ok_or("no such process")?;
    match verb {
        "kill" => kill(p),
        "start" => start(p)?,
        "stop" => signal(p, "STOP")?,
        "cont" => signal(p, "CONT")?,
        "term" => signal(p, "TERM")?,
        _ => return Err("unknown word".into()),
    }
    Ok(())
}
