//! The run of a seed: starts a cluster, executes the schedule and records the observations.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use grebepath_runtime::http::client::HttpClient;
use grebepath_simulator::spec;
use grebepath_simulator::spec::Spec;
use hyper::Method;
use serde_json::{Value, json};
use testbed::callers::{CallerStatistics, poll_readiness, report, run_load};
use testbed::local_cluster;
use testbed::local_cluster::process::Process;
use testbed::local_cluster::{Layout, LocalCluster};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

use crate::cli::Args;
use crate::long_calls;
use crate::operator;
use crate::operator::ZoneOperation;
use crate::record::{LeavingLeaf, Machine, Record, Run};
use crate::schedule::{Action, ActionKind, Schedule};

type Failure = Box<dyn std::error::Error>;

/// The deployment that is run.
const DEPLOYMENT: &str = "mohalla";
/// Factor on the deployment's load: a machine with a few cores serves this without overload.
const LOAD_FACTOR: f64 = 0.15;
/// Interval at which the schedule and the processes are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which a cluster must become ready, at the start and after the last fault.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time that the last operations and attempts have to finish.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Prefix of the services whose leafs leave. Each has four leafs, so that three may leave.
const LEAVING_SERVICE: &str = "mohalla-notices-w48-";
/// Number of services whose leafs leave.
const LEAVING_SERVICES: u64 = 4;
/// Maximum number of leafs of a service that leave.
const MAX_LEAVING_PER_SERVICE: usize = 2;

/// A process that is due to be restarted.
struct ScheduledRestart {
    machine: Machine,
    /// Earliest time of the restart; a process that was asked to stop must have ended.
    at_ms: u64,
}

/// A paused process that is due to be resumed.
struct ScheduledResume {
    machine: Machine,
    at_ms: u64,
}

struct Driver {
    cluster: LocalCluster,
    record: Rc<RefCell<Record>>,
    operations: UnboundedSender<ZoneOperation>,
    list_lag_ms: u64,
    restarts: Vec<ScheduledRestart>,
    resumes: Vec<ScheduledResume>,
    leafs_left: usize,
    break_list_first: bool,
}

/// Runs one seed and returns what was recorded.
pub async fn run_seed(args: &Args, seed: u64, schedule: &Schedule) -> Result<Record, Failure> {
    let layout = Layout {
        bin: local_cluster::bin_dir(&std::env::current_exe()?),
        daemons: args.program_dir.as_ref().map(Into::into),
        dir: format!("{}/seed-{seed}", args.dir).into(),
        deploy: args.deploy.clone().into(),
        name: DEPLOYMENT.into(),
        queriers: args.queriers,
    };
    let spec = spec::read(&format!("{}/{DEPLOYMENT}.standins.json", args.deploy))
        .map_err(|error| error.to_string())?;
    let cluster = LocalCluster::start(layout).await?;
    if !all_ready(&cluster).await {
        return Err("the cluster did not become ready".into());
    }
    let record = Rc::new(RefCell::new(Record::new()));
    let (operations, operation_receiver) = unbounded_channel();
    let send_drains = args.broken.as_deref() != Some("unsent-drains");
    let operator_run = operator::run_operator(
        cluster.operator_addrs.clone(),
        operation_receiver,
        record.clone(),
        send_drains,
    );
    let operator = tokio::task::spawn_local(operator_run);
    let statistics = Rc::new(RefCell::new(CallerStatistics::default()));
    let until = Instant::now() + Duration::from_millis(args.length_ms());
    let mut loads = start_load(&cluster, &spec, seed, &statistics, until);
    let config = std::fs::read(format!("{}/{DEPLOYMENT}.json", args.deploy))?;
    let config: Value = serde_json::from_slice(&config)?;
    loads.extend(long_calls::start(&cluster, &spec, &config, &statistics, until).await?);
    let mut driver = Driver {
        cluster,
        record: record.clone(),
        operations,
        list_lag_ms: spec.list_lag_ms,
        restarts: Vec::new(),
        resumes: Vec::new(),
        leafs_left: 0,
        break_list_first: args.broken.as_deref() == Some("dead-list"),
    };
    driver.drive(&schedule.actions, until).await?;
    for task in loads {
        task.await?;
    }
    let cluster = driver.finish().await?;
    operator.await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let statistics = statistics.take();
    read_end(&cluster, &record, &statistics).await?;
    let finished = std::mem::replace(&mut *record.borrow_mut(), Record::new());
    Ok(finished)
}

async fn all_ready(cluster: &LocalCluster) -> bool {
    for querier in 0..cluster.queriers.len() {
        if !local_cluster::until(READY_TIMEOUT, || cluster.is_ready(querier)).await {
            return false;
        }
    }
    true
}

/// Starts callers, which call until `until`.
fn start_load(
    cluster: &LocalCluster,
    spec: &Spec,
    seed: u64,
    statistics: &Rc<RefCell<CallerStatistics>>,
    until: Instant,
) -> Vec<tokio::task::JoinHandle<()>> {
    let ready = Rc::new(RefCell::new(cluster.caller_addrs.clone()));
    let watch =
        poll_readiness(HttpClient::new(2), cluster.caller_addrs.clone(), ready.clone(), until);
    tokio::task::spawn_local(watch);
    // Keep-alive connections are used until the process at the other end has ended.
    let http = HttpClient::new(128);
    let kinds = spec.kinds.iter().zip(seed..);
    kinds
        .map(|(kind, seed)| {
            let (http, ready, statistics) = (http.clone(), ready.clone(), statistics.clone());
            tokio::task::spawn_local(run_load(
                http,
                kind.clone(),
                LOAD_FACTOR,
                ready,
                statistics,
                seed,
                until,
            ))
        })
        .collect()
}

impl Driver {
    fn process(&mut self, machine: Machine) -> &mut Process {
        match machine {
            Machine::Querier(number) => &mut self.cluster.queriers[number],
            Machine::Controller(number) => &mut self.cluster.controllers[number],
        }
    }

    /// Executes all actions at their times, and restarts and resumes processes.
    async fn drive(&mut self, actions: &[Action], until: Instant) -> Result<(), Failure> {
        let mut due = actions.iter();
        let mut next = due.next();
        while Instant::now() < until || next.is_some() || self.has_pending() {
            let now = self.record.borrow().now_ms();
            self.restart_due(now)?;
            self.resume_due(now)?;
            while let Some(action) = next.filter(|action| action.at_ms <= now) {
                self.act(action, now).await?;
                next = due.next();
            }
            self.note_unexpected_ends();
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    fn has_pending(&self) -> bool {
        !self.restarts.is_empty() || !self.resumes.is_empty()
    }

    /// Whether an earlier action on a machine has not ended yet.
    fn has_pending_action(&self, machine: Machine) -> bool {
        self.restarts.iter().any(|restart| restart.machine == machine)
            || self.resumes.iter().any(|resume| resume.machine == machine)
    }

    async fn act(&mut self, action: &Action, now: u64) -> Result<(), Failure> {
        match action.kind {
            ActionKind::StopQuerier(querier) => self.stop(Machine::Querier(querier), now),
            ActionKind::StopController(controller) => {
                self.stop(Machine::Controller(controller), now)
            }
            ActionKind::KillQuerier { querier, down_ms } => {
                self.kill(Machine::Querier(querier), now + down_ms)
            }
            ActionKind::KillController { controller, down_ms } => {
                self.kill(Machine::Controller(controller), now + down_ms)
            }
            ActionKind::FreezeQuerier { querier, for_ms } => {
                self.pause(Machine::Querier(querier), now + for_ms)
            }
            ActionKind::FreezeController { controller, for_ms } => {
                self.pause(Machine::Controller(controller), now + for_ms)
            }
            ActionKind::HangUpQuerier(querier) => self.send_sighup(Machine::Querier(querier)),
            ActionKind::DrainZone { zone, controller } => {
                self.send_zone_operation(zone, true, controller)
            }
            ActionKind::TakeBack { zone, controller } => {
                self.send_zone_operation(zone, false, controller)
            }
            ActionKind::LeafLeaves => self.drain_leaf().await,
            ActionKind::LeafRestarts => {
                let service = format!("{LEAVING_SERVICE}0");
                let operation = json!({ "do": "restart", "service": service, "count": 1 });
                self.cluster.control_backends(operation).await?;
                Ok(())
            }
        }
    }

    fn start_fault(&mut self, machine: Machine, signal_name: &str) -> bool {
        if self.has_pending_action(machine) {
            return false;
        }
        let mut record = self.record.borrow_mut();
        record.log_event(format!("{machine:?}: {signal_name}"));
        record.disturb(machine);
        true
    }

    fn stop(&mut self, machine: Machine, now: u64) -> Result<(), Failure> {
        if self.start_fault(machine, "SIGTERM") {
            self.process(machine).signal("TERM")?;
            self.restarts.push(ScheduledRestart { machine, at_ms: now });
        }
        Ok(())
    }

    fn kill(&mut self, machine: Machine, end_ms: u64) -> Result<(), Failure> {
        if self.start_fault(machine, "SIGKILL") {
            self.process(machine).kill();
            self.restarts.push(ScheduledRestart { machine, at_ms: end_ms });
        }
        Ok(())
    }

    fn pause(&mut self, machine: Machine, end_ms: u64) -> Result<(), Failure> {
        if self.start_fault(machine, "SIGSTOP") {
            self.process(machine).signal("STOP")?;
            self.resumes.push(ScheduledResume { machine, at_ms: end_ms });
        }
        Ok(())
    }

    /// Sends SIGHUP. It does not count as a fault, because it must not disturb the process.
    fn send_sighup(&mut self, machine: Machine) -> Result<(), Failure> {
        if !self.has_pending_action(machine) {
            self.record.borrow_mut().log_event(format!("{machine:?}: SIGHUP"));
            self.process(machine).signal("HUP")?;
        }
        Ok(())
    }

    fn send_zone_operation(
        &self,
        zone: &'static str,
        drained: bool,
        controller: usize,
    ) -> Result<(), Failure> {
        Ok(self.operations.send(ZoneOperation { zone, drained, controller })?)
    }

    /// Makes a leaf leave without reporting it in its replies: only the platform's list shows it.
    async fn drain_leaf(&mut self) -> Result<(), Failure> {
        let service_number = self.leafs_left as u64 % LEAVING_SERVICES;
        if self.leafs_left >= LEAVING_SERVICES as usize * MAX_LEAVING_PER_SERVICE {
            return Ok(());
        }
        let service = format!("{LEAVING_SERVICE}{service_number}");
        if self.break_list_first {
            self.cluster.control_backends(json!({ "do": "list-dead" })).await?;
        }
        let state = self.cluster.query_backends("/state").await?;
        let leafs = state["leafs"].as_array().cloned().unwrap_or_default();
        let is_staying = |leaf: &&Value| {
            leaf["service"] == service.as_str() && leaf["alive"] == true && leaf["leaving"] == false
        };
        let Some(name) = leafs.iter().find(is_staying).and_then(|leaf| leaf["leaf"].as_str())
        else {
            return Ok(());
        };
        self.leafs_left += 1;
        self.cluster.control_backends(json!({ "do": "leave-unseen", "leaf": name })).await?;
        let mut record = self.record.borrow_mut();
        let shown_ms = record.now_ms() + self.list_lag_ms;
        record.log_event(format!("{name} leaves; the list shows it from {shown_ms} ms on"));
        record.leaving.push(LeavingLeaf { leaf: name.to_string(), shown_ms });
        Ok(())
    }

    /// Restarts processes that are due and have ended.
    fn restart_due(&mut self, now: u64) -> Result<(), Failure> {
        let (due, pending): (Vec<ScheduledRestart>, Vec<ScheduledRestart>) =
            std::mem::take(&mut self.restarts).into_iter().partition(|r| r.at_ms <= now);
        self.restarts = pending;
        for restart in due {
            let process = self.process(restart.machine);
            let is_running =
                process.child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(None)));
            if is_running {
                self.restarts.push(restart);
                continue;
            }
            process.child = None;
            process.start()?;
            let mut record = self.record.borrow_mut();
            record.log_event(format!("{:?} was restarted", restart.machine));
            record.recover(restart.machine);
        }
        Ok(())
    }

    fn resume_due(&mut self, now: u64) -> Result<(), Failure> {
        let (due, pending): (Vec<ScheduledResume>, Vec<ScheduledResume>) =
            std::mem::take(&mut self.resumes).into_iter().partition(|resume| resume.at_ms <= now);
        self.resumes = pending;
        for resume in due {
            self.process(resume.machine).signal("CONT")?;
            let mut record = self.record.borrow_mut();
            record.log_event(format!("{:?} was resumed", resume.machine));
            record.recover(resume.machine);
        }
        Ok(())
    }

    /// Records a violation for each process that ended without being asked to.
    fn note_unexpected_ends(&mut self) {
        let all = (0..self.cluster.queriers.len()).map(Machine::Querier);
        let machines: Vec<Machine> =
            all.chain((0..self.cluster.controllers.len()).map(Machine::Controller)).collect();
        for machine in machines {
            if self.has_pending_action(machine) {
                continue;
            }
            let child = self.process(machine).child.as_mut();
            if let Some(Ok(Some(status))) = child.map(std::process::Child::try_wait) {
                let text = format!("{machine:?} ended unexpectedly: {status}");
                self.record.borrow_mut().process_faults.push(text);
                self.restarts.push(ScheduledRestart { machine, at_ms: 0 });
            }
        }
    }

    /// Ends the operator's input. Returns the cluster once it is ready again.
    async fn finish(self) -> Result<LocalCluster, Failure> {
        let Driver { cluster, record, operations, .. } = self;
        drop(operations);
        if !all_ready(&cluster).await {
            let text = "not all queriers became ready again after the last fault".to_string();
            record.borrow_mut().process_faults.push(text);
        }
        Ok(cluster)
    }
}

/// Records what leafs ran, what callers found and the state of the zones at the end.
async fn read_end(
    cluster: &LocalCluster,
    record: &Rc<RefCell<Record>>,
    statistics: &CallerStatistics,
) -> Result<(), Failure> {
    let runs = cluster.query_backends("/runs").await?;
    let runs = runs.as_array().cloned().unwrap_or_default();
    let state = cluster.query_backends("/state").await?;
    let config = read_config(cluster).await?;
    let mut record = record.borrow_mut();
    // The clock of the mock back ends started before the record's clock.
    let offset_ms = state["now_ms"].as_u64().unwrap_or(0).saturating_sub(record.now_ms());
    record.runs = runs.iter().filter_map(|run| parse_run(run, offset_ms)).collect();
    let answers = report(statistics, &runs);
    let wrong = answers["first"].as_array().into_iter().flatten();
    record.wrong_answers = wrong.map(Value::to_string).collect();
    let zones = config["config"]["zones"].as_array().into_iter().flatten();
    record.zones_at_end = zones
        .filter_map(|zone| Some((zone["name"].as_str()?.to_string(), zone["state"] == "drained")))
        .collect();
    Ok(())
}

async fn read_config(cluster: &LocalCluster) -> Result<Value, Failure> {
    for attempt in 0..3 * cluster.operator_addrs.len() {
        let url = format!(
            "http://{}/v1/config",
            cluster.operator_addrs[attempt % cluster.operator_addrs.len()]
        );
        let read = local_cluster::request(&cluster.http, Method::GET, url, Vec::new(), &[]).await;
        match read {
            Ok((200, config)) => return Ok(config),
            _ => tokio::time::sleep(Duration::from_millis(300)).await,
        }
    }
    Err("the configuration could not be read at the end".into())
}

/// Parses an entry of the leafs' log: leaf, service, index version, zone, query, question, key,
/// time. The id of a query begins with the name of the querier that sends it.
fn parse_run(run: &Value, offset_ms: u64) -> Option<Run> {
    let sender = run[4].as_str()?.strip_prefix('q')?;
    let (querier, _) = sender.split_once('-')?;
    Some(Run {
        leaf: run[0].as_str()?.to_string(),
        zone: run[3].as_str()?.to_string(),
        querier: querier.parse().ok()?,
        at_ms: run[7].as_u64()?.checked_sub(offset_ms)?,
    })
}
