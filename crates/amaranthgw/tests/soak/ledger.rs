//! Test oracle: compares what callers sent and received with what targets ran.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthgw_standins::site::SiteRun;
use tokio::time::Instant;

use super::repeats::check_repeats;
use super::site::{COLD_RATE, ConfigRow, PLAIN_SERVICES, SoakSite, SoakTarget, WORKSPACE};

/// Time after its acknowledgement within which a configuration takes effect.
const CONFIG_BOUND: Duration = Duration::from_millis(2_500);
/// Time for which a target may still get requests after the store acknowledged it as draining.
const DRAIN_BOUND: Duration = Duration::from_millis(2_500);
/// Requests that a cold target may run within any second, whatever faults there are.
const COLD_BOUND: usize = COLD_RATE * 3 / 2 + 5;
/// Crashes after which requests with the deadly part must not reach targets any more, but for
/// `MAX_LATE_DEADLY_RUNS`, from `TOUCH_TIME` on.
const MAX_CRASHES: usize = 5;
/// Requests with the deadly part that may run later all the same.
const MAX_LATE_DEADLY_RUNS: usize = 3;
/// Time within which gateways know of a crash.
const TOUCH_TIME: Duration = Duration::from_secs(3);
/// Time after an unplanned fault for which `CONFIG_BOUND`, `DRAIN_BOUND` and the check of planned
/// stops and reloads don't apply.
const FAULT_GRACE_PERIOD: Duration = Duration::from_secs(4);

/// Kind of the route that a request takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    /// Idempotent: may run several times.
    Idempotent,
    /// Not idempotent: runs at most once.
    NonIdempotent,
    /// A stream that may be resumed.
    Streaming,
}

impl CallKind {
    /// Path prefix of the route.
    pub(super) const fn prefix(self) -> &'static str {
        match self {
            Self::Idempotent => "/look/",
            Self::NonIdempotent => "/pay/",
            Self::Streaming => "/draft/",
        }
    }
}

/// A request that a caller sent.
#[derive(Clone, Debug)]
pub(super) struct CallRecord {
    pub(super) id: String,
    pub(super) kind: CallKind,
    /// Index of the caller's key in `KEYS`.
    pub(super) key: usize,
    /// Index of the gateway that it was sent to.
    pub(super) gateway: usize,
    /// Whether its prompt has the part on which model servers crash at times.
    pub(super) is_deadly: bool,
    pub(super) sent_at: Instant,
}

/// Result of a request for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallOutcome {
    /// A complete answer.
    Answered,
    /// A status that guarantees for a non-idempotent request that it was not run.
    Refused,
    /// Another status.
    Failed(u16),
    /// The connection ended without a complete answer.
    Broken,
    /// The gateway could not be reached.
    Unconnected,
    /// No answer arrived in time.
    Silent,
}

/// Time span of a fault.
#[derive(Clone, Debug)]
pub(super) struct FaultSpan {
    pub(super) from: Instant,
    pub(super) until: Instant,
    /// Index of the gateway with a planned stop or reload; `None` for all other faults.
    pub(super) planned_at: Option<usize>,
    /// Whether that gateway was restarted.
    pub(super) is_restart: bool,
}

#[derive(Debug, Default)]
struct LedgerTables {
    /// Requests by id, each with its outcome and end once it has ended.
    calls: HashMap<String, (CallRecord, Option<(CallOutcome, Instant)>)>,
    faults: Vec<FaultSpan>,
    violations: Vec<String>,
}

/// Calls, faults and violations of one run.
#[derive(Debug, Default)]
pub(super) struct CallLedger {
    tables: Mutex<LedgerTables>,
}

impl CallLedger {
    /// Creates an empty ledger.
    pub(super) fn new() -> Arc<Self> {
        Arc::default()
    }

    fn tables(&self) -> MutexGuard<'_, LedgerTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a request before it is sent.
    pub(super) fn record_start(&self, record: &CallRecord) {
        let mut tables = self.tables();
        tables
            .calls
            .insert(record.id.clone(), (record.clone(), None));
    }

    /// Records the outcome of a request.
    pub(super) fn record_end(&self, record: &CallRecord, outcome: CallOutcome) {
        let mut tables = self.tables();
        if let Some((_, ended)) = tables.calls.get_mut(&record.id) {
            *ended = Some((outcome, Instant::now()));
        }
    }

    /// Records a violation seen by a caller.
    pub(super) fn record_violation(&self, text: String) {
        self.tables().violations.push(text);
    }

    /// Records the time span of a fault.
    pub(super) fn record_fault(&self, span: FaultSpan) {
        self.tables().faults.push(span);
    }

    /// Number of requests sent, and of those with a complete answer.
    pub(super) fn counts(&self) -> (usize, usize) {
        let tables = self.tables();
        let answered = tables.calls.values().filter(|(_, ended)| {
            ended.is_some_and(|(outcome, _)| outcome == CallOutcome::Answered)
        });
        (tables.calls.len(), answered.count())
    }

    /// All violations: those seen by callers, and those found in the records of the targets.
    pub(super) fn violations(&self, site: &SoakSite, fault_free_since: Instant) -> Vec<String> {
        let tables = self.tables();
        let configs = site.configs.lock().expect("configurations");
        let mut violations = tables.violations.clone();
        let mut runs: HashMap<String, u32> = HashMap::new();
        for target in &site.targets {
            violations.extend(check_cold(target));
            violations.extend(tables.check_leaving(target));
            for run in target.target.runs() {
                let id = run.header("x-amaranthgw-request-id").unwrap_or_default();
                *runs.entry(id.to_owned()).or_default() += 1;
                violations.extend(tables.check_run(target, &run, &configs));
            }
        }
        for (record, ended) in tables.calls.values() {
            let ran = runs.get(&record.id).copied().unwrap_or_default();
            violations.extend(tables.check_call(record, *ended, ran, fault_free_since));
        }
        violations.extend(tables.check_deadly(site));
        for service in [PLAIN_SERVICES[0], PLAIN_SERVICES[1], "draft"] {
            let sent = tables.sent_to(service);
            violations.extend(check_repeats(site, service, &sent));
        }
        if let Some(step) = site.group.mixed_step() {
            violations.push(format!("step {step} ran under two maps"));
        }
        violations
    }
}

/// Checks that a cold target ran no more than `COLD_BOUND` requests within any second.
fn check_cold(target: &SoakTarget) -> Option<String> {
    let runs = target.target.runs();
    let in_second_from = |(first, run): (usize, &SiteRun)| {
        let end = run.arrived_at + Duration::from_secs(1);
        let later = runs[first..].iter();
        later.take_while(|later| later.arrived_at < end).count()
    };
    let counts = runs.iter().enumerate().map(in_second_from);
    let peak = counts.max().unwrap_or_default();
    let is_flooded = target.is_cold && peak > COLD_BOUND;
    is_flooded.then(|| format!("{}: cold, ran {peak} requests in a second", target.key))
}

impl LedgerTables {
    /// When requests were sent that may go to `service`; plain ones go to either service.
    fn sent_to(&self, service: &str) -> Vec<Instant> {
        let is_draft = service == "draft";
        let records = self.calls.values().map(|(record, _)| record);
        let sent = records.filter(|record| (record.kind == CallKind::Streaming) == is_draft);
        sent.map(|record| record.sent_at).collect()
    }

    /// Whether no unplanned fault was active from `FAULT_GRACE_PERIOD` before `from` to `until`.
    fn is_fault_free(&self, from: Instant, until: Instant) -> bool {
        let overlaps =
            |fault: &FaultSpan| fault.until + FAULT_GRACE_PERIOD >= from && fault.from <= until;
        let mut unplanned = self
            .faults
            .iter()
            .filter(|fault| fault.planned_at.is_none());
        !unplanned.any(overlaps)
    }

    fn has_planned_fault(&self, gateway: usize, from: Instant, until: Instant) -> bool {
        let overlaps = |fault: &&FaultSpan| fault.until >= from && fault.from <= until;
        let mut faults = self.faults.iter().filter(overlaps);
        faults.any(|fault| fault.planned_at == Some(gateway))
    }

    fn check_run(
        &self,
        target: &SoakTarget,
        run: &SiteRun,
        configs: &[ConfigRow],
    ) -> Option<String> {
        let id = run.header("x-amaranthgw-request-id").unwrap_or_default();
        let Some((record, _)) = self.calls.get(id) else {
            return Some(format!("{id}: ran but was never sent"));
        };
        let path = format!("POST {}{id}", record.kind.prefix());
        if run.line != path || run.body != format!("body of {id}") {
            return Some(format!("{id}: ran with another path or body: {}", run.line));
        }
        if run.header("x-amaranthgw-tenant") != Some(WORKSPACE) || run.header("x-api-key").is_some()
        {
            return Some(format!(
                "{id}: ran with a wrong workspace or with the caller's key"
            ));
        }
        if (record.kind == CallKind::Streaming) != (target.service == "draft") {
            return Some(format!("{id}: ran at service {}", target.service));
        }
        if !self.is_fault_free(record.sent_at, run.arrived_at) {
            return None;
        }
        let draining_at = *target.draining_at.lock().expect("a time");
        if draining_at.is_some_and(|at| record.sent_at > at + DRAIN_BOUND) {
            return Some(format!("{id}: ran at a draining target"));
        }
        let settled = configs
            .iter()
            .rposition(|row| row.acknowledged_at + CONFIG_BOUND <= record.sent_at);
        let mut allowed = configs[settled.unwrap_or(0)..]
            .iter()
            .filter(|row| row.acknowledged_at <= run.arrived_at);
        let allows = |row: &ConfigRow| {
            let matches_route = record.kind == CallKind::Streaming
                || PLAIN_SERVICES[row.service_index] == target.service;
            matches_route && (record.key == 0 || row.has_second_key)
        };
        let is_allowed = allowed.any(allows);
        (!is_allowed).then(|| format!("{id}: ran as only an older configuration allows"))
    }

    /// Checks that few requests with the deadly part ran after it had crashed `MAX_CRASHES` targets.
    fn check_deadly(&self, site: &SoakSite) -> Option<String> {
        let targets = site.targets.iter().filter(|it| it.service == "draft");
        let mut runs: Vec<_> = targets
            .flat_map(|target| target.target.deadly_runs())
            .collect();
        runs.sort_by_key(|run| run.arrived_at);
        let bound_at = runs.get(MAX_CRASHES - 1)?.arrived_at + TOUCH_TIME;
        let late = runs.iter().filter(|run| {
            let id = run.header("x-amaranthgw-request-id").unwrap_or_default();
            let record = self.calls.get(id).map(|(record, _)| record);
            record.is_some_and(|record| {
                record.sent_at > bound_at && self.is_fault_free(record.sent_at, run.arrived_at)
            })
        });
        let late = late.count();
        (late > MAX_LATE_DEADLY_RUNS)
            .then(|| format!("{late} requests with a deadly part ran after the fifth crash"))
    }

    /// Checks that a gateway that has passed on an answer of a leaving target sends it no more.
    fn check_leaving(&self, target: &SoakTarget) -> Option<String> {
        let leaving_at = (*target.leaving_at.lock().expect("a time"))?;
        let mut told_at: HashMap<usize, Instant> = HashMap::new();
        for run in target.target.runs() {
            let id = run.header("x-amaranthgw-request-id").unwrap_or_default();
            let Some((record, _)) = self.calls.get(id) else {
                continue;
            };
            if run.arrived_at < leaving_at {
                continue;
            }
            let told_at = told_at.entry(record.gateway).or_insert(run.arrived_at);
            let is_restart =
                |fault: &&FaultSpan| fault.is_restart && fault.planned_at == Some(record.gateway);
            let restarts = self.faults.iter().filter(is_restart);
            // A process that has restarted has to be told anew.
            if restarts
                .clone()
                .any(|it| it.until >= *told_at && it.from <= run.arrived_at)
            {
                *told_at = run.arrived_at;
            }
            let is_late = record.sent_at > *told_at + DRAIN_BOUND;
            if is_late && self.is_fault_free(*told_at, run.arrived_at) {
                return Some(format!("{id}: ran at a target that had said it is leaving"));
            }
        }
        None
    }

    fn check_call(
        &self,
        record: &CallRecord,
        ended: Option<(CallOutcome, Instant)>,
        ran: u32,
        fault_free_since: Instant,
    ) -> Option<String> {
        let id = &record.id;
        let (outcome, ended_at) = ended?;
        if record.kind == CallKind::NonIdempotent && ran > 1 {
            return Some(format!("{id}: ran {ran} times"));
        }
        if outcome == CallOutcome::Refused && ran > 0 && record.kind == CallKind::NonIdempotent {
            return Some(format!("{id}: refused as not run, but ran"));
        }
        if outcome == CallOutcome::Failed(404)
            || (outcome == CallOutcome::Failed(401) && record.key == 0)
        {
            return Some(format!("{id}: denied with {outcome:?}"));
        }
        let is_served = outcome == CallOutcome::Answered || record.key > 0 || record.is_deadly;
        if record.sent_at >= fault_free_since && !is_served {
            return Some(format!("{id}: {outcome:?} after the end of all faults"));
        }
        let is_cut_off = outcome == CallOutcome::Broken && ran > 0;
        let is_planned = self.has_planned_fault(record.gateway, record.sent_at, ended_at);
        if is_cut_off && is_planned && self.is_fault_free(record.sent_at, ended_at) {
            return Some(format!("{id}: cut off by a planned stop or reload"));
        }
        None
    }
}
