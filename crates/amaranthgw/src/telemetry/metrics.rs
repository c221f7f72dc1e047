//! Metrics of the process, exported in the Prometheus text format.

use std::time::Duration;

use amaranthgw_core::{ByteCount, DemandShare, PlanId, ServiceId, SlotCount, TargetId};
use amaranthgw_fleet::gateway::{AdmissionFigures, CallRank};
use amaranthgw_platform::PlatformError;
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Renders the metrics recorded through the `metrics` macros.
#[derive(Clone, Debug)]
pub struct MetricsHandle {
    handle: PrometheusHandle,
}

impl MetricsHandle {
    /// Installs the metrics recorder of the process.
    ///
    /// If one is installed already, this handle renders a separate recorder that stays empty.
    #[must_use]
    pub fn new() -> Self {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // Fails if a recorder is installed already, as by the first of several nodes in one process.
        drop(metrics::set_global_recorder(recorder));
        Self { handle }
    }

    /// Renders all metrics as text.
    #[must_use]
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}

impl Default for MetricsHandle {
    fn default() -> Self {
        Self::new()
    }
}

/// Counts a response and records its duration `taken`; `outcome` is the name that its outcome has in
/// the burn report.
pub fn count_answer(plan: &PlanId, service: &ServiceId, outcome: &'static str, taken: Duration) {
    let (plan, service) = (plan.to_string(), service.to_string());
    counter!(
        "amaranthgw_answers_total",
        "plan" => plan, "service" => service.clone(), "outcome" => outcome
    )
    .increment(1);
    histogram!("amaranthgw_answer_seconds", "service" => service, "outcome" => outcome)
        .record(taken.as_secs_f64());
}

/// Counts a request refused before its first attempt; `code` is the error code of the response.
pub fn count_refusal(code: &'static str) {
    counter!("amaranthgw_refusals_total", "code" => code).increment(1);
}

/// Counts a map switch that ended for `cause` after `total`, in which a rank was held for `held`.
pub fn record_switch(cause: &'static str, total: Duration, held: Duration) {
    histogram!("amaranthgw_map_switch_seconds", "cause" => cause).record(total.as_secs_f64());
    histogram!("amaranthgw_map_switch_held_seconds", "cause" => cause).record(held.as_secs_f64());
}

/// Exports the parts of prompts that targets are expected to hold, and the measured share of their reading
/// time that is saved.
pub fn set_held_parts(parts: usize, saved_share: f64) {
    gauge!("amaranthgw_held_parts").set(f64::from(u32::try_from(parts).unwrap_or(u32::MAX)));
    gauge!("amaranthgw_held_saved_share").set(saved_share);
}

/// Records what a gateway knew of a target that it chose: the age of its load, and when it was expected to begin
/// the request; `None` for what is unknown.
pub fn record_choice(load_age: Option<Duration>, expected_begin: Option<Duration>) {
    if let Some(age) = load_age {
        histogram!("amaranthgw_load_age_seconds").record(age.as_secs_f64());
    }
    if let Some(begin) = expected_begin {
        histogram!("amaranthgw_expected_begin_seconds").record(begin.as_secs_f64());
    }
}

/// Gauges of one target at its sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetGauges {
    /// Requests in flight.
    pub in_flight: SlotCount,
    /// Requests that the gate admits concurrently.
    pub limit: SlotCount,
}

impl TargetGauges {
    /// Exports the values as the gauges of `target`.
    pub fn set(self, target: &TargetId) {
        let target = target.to_string();
        gauge!("amaranthgw_target_in_flight", "target" => target.clone())
            .set(f64::from(self.in_flight.get()));
        gauge!("amaranthgw_target_limit", "target" => target).set(f64::from(self.limit.get()));
    }
}

/// Counts a call that a gateway finished and records its duration `taken`.
pub fn count_call(kind: &'static str, outcome: &'static str, taken: Duration) {
    counter!("amaranthgw_calls_total", "kind" => kind, "outcome" => outcome).increment(1);
    histogram!("amaranthgw_call_seconds", "kind" => kind).record(taken);
}

/// Counts an attempt at a target by its outcome.
pub fn count_attempt(outcome: &'static str) {
    counter!("amaranthgw_attempts_total", "outcome" => outcome).increment(1);
}

/// Counts a repeat that the retry budget of `service` granted or refused.
pub fn count_retry(service: &ServiceId, is_granted: bool) {
    let outcome = if is_granted { "granted" } else { "refused" };
    counter!("amaranthgw_retries_total", "service" => service.to_string(), "outcome" => outcome)
        .increment(1);
}

/// Labels of a wait in the metrics.
#[derive(Clone, Copy, Debug)]
pub struct WaitLabels<'a> {
    /// Service that the request is for.
    pub service: &'a ServiceId,
    /// Rank of the request.
    pub rank: CallRank,
    /// How the wait ended.
    pub outcome: &'static str,
}

/// Counts a wait of a request that ended after `waited`.
pub fn count_wait(labels: &WaitLabels<'_>, waited: Duration) {
    let service = labels.service.to_string();
    let rank = labels.rank.to_string();
    counter!(
        "amaranthgw_waits_total",
        "service" => service.clone(), "rank" => rank.clone(), "outcome" => labels.outcome
    )
    .increment(1);
    histogram!("amaranthgw_wait_seconds", "service" => service, "rank" => rank)
        .record(waited.as_secs_f64());
}

/// Sets the gauges of the admission to the targets of `service`.
pub fn set_admission(service: &ServiceId, figures: &AdmissionFigures) {
    let name = service.to_string();
    gauge!("amaranthgw_service_in_flight", "service" => name.clone())
        .set(f64::from(figures.in_flight));
    gauge!("amaranthgw_service_limit", "service" => name.clone())
        .set(f64::from(figures.limit.unwrap_or_default()));
    for level in &figures.levels {
        let waiting = u32::try_from(level.waiting).unwrap_or(u32::MAX);
        gauge!(
            "amaranthgw_waiting",
            "service" => name.clone(), "rank" => level.rank.to_string()
        )
        .set(f64::from(waiting));
    }
}

/// Counts a call to the key-value service by outcome: `ok`, `no_answer` or `refused`.
pub fn count_store_call<T>(call: &'static str, result: &amaranthgw_platform::Result<T>) {
    let outcome = match result {
        Ok(_) => "ok",
        Err(PlatformError::Net(_)) => "no_answer",
        Err(_) => "refused",
    };
    counter!("amaranthgw_store_calls_total", "call" => call, "outcome" => outcome).increment(1);
}

/// Counts a peer's demand report, or its answer to one, by outcome: `applied` or why it was refused.
pub fn count_demand(outcome: &'static str) {
    counter!("amaranthgw_demand_reports_total", "outcome" => outcome).increment(1);
}

/// Sets the share of the room of `service` that this gateway may use.
pub fn set_demand_share(service: &ServiceId, share: DemandShare) {
    gauge!("amaranthgw_demand_share", "service" => service.to_string()).set(share.fraction());
}

/// Counts a body that was given up as the process has no memory left for it; `holder` is the kind of its
/// sender.
pub fn count_eviction(holder: &'static str) {
    counter!("amaranthgw_bodies_evicted_total", "holder" => holder).increment(1);
}

/// Sets the memory that bodies hold, in KiB, and the number of bodies that wait for some.
pub fn set_held_bytes(held: ByteCount, waiting: usize) {
    let gauge_of = |number: u64| f64::from(u32::try_from(number).unwrap_or(u32::MAX));
    gauge!("amaranthgw_held_kilobytes").set(gauge_of(held.get() / 1_024));
    gauge!("amaranthgw_bodies_waiting").set(gauge_of(u64::try_from(waiting).unwrap_or(u64::MAX)));
}
