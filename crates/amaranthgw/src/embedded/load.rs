//! Open-loop load generator with a constant call rate.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_standins::chunk_text;
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::fleet::{MODEL_SERVICE, PLAIN_SERVICE};
use super::{CallAnswer, LoadCaller, LoadStats};

/// Parameters of a load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Prefix of the request ids of this load.
    pub name: String,
    /// Entries that are called in round-robin order.
    pub entries: Vec<SocketAddr>,
    /// Interval between the starts of two calls.
    pub interval: Duration,
    /// Time during which new calls are started.
    pub duration: Duration,
    /// Every n-th call goes to the plain service and the others to the model service; with 0, all
    /// go to the model service.
    pub plain_every: u64,
    /// Tokens requested by each model call.
    pub max_tokens: u32,
    /// Time within which a complete answer counts as on time.
    pub deadline: Duration,
}

/// Runs the load of `plan` and waits until every call has ended.
pub async fn run_load(plan: LoadPlan) -> LoadStats {
    let callers: Vec<_> = plan
        .entries
        .iter()
        .map(|address| LoadCaller::new(*address))
        .collect();
    let plan = Arc::new(plan);
    let mut calls = JoinSet::new();
    let mut ticks = interval(plan.interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let end = Instant::now() + plan.duration;
    for index in 0.. {
        if ticks.tick().await >= end {
            break;
        }
        let caller_index = usize::try_from(index).unwrap_or_default() % callers.len();
        calls.spawn(make_call(
            Arc::clone(&plan),
            callers[caller_index].clone(),
            index,
        ));
    }
    let mut stats = LoadStats::new();
    while let Some(Ok(call)) = calls.join_next().await {
        stats.add(&call);
    }
    stats
}

async fn make_call(plan: Arc<LoadPlan>, caller: LoadCaller, index: u64) -> LoadStats {
    let request = format!("{}-{index}", plan.name);
    let mut stats = LoadStats::new();
    stats.calls = 1;
    if plan.plain_every > 0 && index.is_multiple_of(plan.plain_every) {
        let body = format!("book {request}");
        let answer = caller
            .call(PLAIN_SERVICE, &request, Some(&request), &body)
            .await;
        let is_correct = |answer: &CallAnswer| answer.body == format!("ran:{body}");
        record_answer(&mut stats, answer, plan.deadline, is_correct);
    } else {
        let prompt = format!("prompt of {request}");
        let answer = caller
            .generate(MODEL_SERVICE, &request, &prompt, plan.max_tokens)
            .await;
        let is_correct = |answer: &CallAnswer| is_expected_stream(answer, &prompt, plan.max_tokens);
        record_answer(&mut stats, answer, plan.deadline, is_correct);
    }
    stats
}

fn record_answer(
    stats: &mut LoadStats,
    answer: Option<CallAnswer>,
    deadline: Duration,
    is_correct: impl FnOnce(&CallAnswer) -> bool,
) {
    let Some(answer) = answer else {
        *stats.errors.entry("no_answer".to_owned()).or_default() += 1;
        return;
    };
    if !answer.status.is_success() {
        *stats.errors.entry(error_code(&answer)).or_default() += 1;
    } else if !answer.is_clean {
        stats.cut += 1;
    } else if !is_correct(&answer) {
        stats.wrong += 1;
    } else {
        stats.record_times(answer.first_byte, answer.total);
        let is_on_time = answer.total <= deadline;
        *(if is_on_time {
            &mut stats.on_time
        } else {
            &mut stats.late
        }) += 1;
    }
}

fn error_code(answer: &CallAnswer) -> String {
    let json = serde_json::from_slice::<Value>(&answer.body).unwrap_or_default();
    json["error"]["code"]
        .as_str()
        .unwrap_or("malformed")
        .to_owned()
}

/// Whether the answer consists of every expected chunk of `prompt` in order and one end record.
fn is_expected_stream(answer: &CallAnswer, prompt: &str, max_tokens: u32) -> bool {
    let mut lines = answer
        .body
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty());
    for sequence in 0..u64::from(max_tokens) {
        let line = lines
            .next()
            .and_then(|line| serde_json::from_slice::<Value>(line).ok());
        let is_chunk = line.is_some_and(|line| {
            line["sequence"] == sequence && line["text"] == chunk_text(prompt, sequence)
        });
        if !is_chunk {
            return false;
        }
    }
    let end = lines
        .next()
        .and_then(|line| serde_json::from_slice::<Value>(line).ok());
    end.is_some_and(|end| end["end"]["chunks"] == max_tokens) && lines.next().is_none()
}
