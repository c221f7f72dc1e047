//! An open loop of calls at a steady rate.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_standins::chunk_text;
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::fleet::{MODEL_SERVICE, PLAIN_SERVICE};
use super::{CallAnswer, LoadCaller, LoadTally};

/// Calls of a load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Names the requests of this load.
    pub name: String,
    /// Entries that the calls go to in turn.
    pub entries: Vec<SocketAddr>,
    /// Time between two calls.
    pub period: Duration,
    /// How long calls are started.
    pub length: Duration,
    /// Every so-manieth call goes to the plain service; 0: none.
    pub plain_every: u64,
    /// Tokens of each model call.
    pub max_tokens: u32,
    /// Time within which an answer must be whole.
    pub deadline: Duration,
}

/// Runs the calls of `plan` and waits for all their answers.
pub async fn run_load(plan: LoadPlan) -> LoadTally {
    let callers: Vec<_> = plan
        .entries
        .iter()
        .map(|address| LoadCaller::new(*address))
        .collect();
    let plan = Arc::new(plan);
    let mut calls = JoinSet::new();
    let mut ticks = interval(plan.period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let end = Instant::now() + plan.length;
    for index in 0.. {
        if ticks.tick().await >= end {
            break;
        }
        let turn = usize::try_from(index).unwrap_or_default() % callers.len();
        calls.spawn(make_call(Arc::clone(&plan), callers[turn].clone(), index));
    }
    let mut tally = LoadTally::new();
    while let Some(Ok(call)) = calls.join_next().await {
        tally.add(&call);
    }
    tally
}

async fn make_call(plan: Arc<LoadPlan>, caller: LoadCaller, index: u64) -> LoadTally {
    let request = format!("{}-{index}", plan.name);
    let mut tally = LoadTally::new();
    tally.calls = 1;
    if plan.plain_every > 0 && index.is_multiple_of(plan.plain_every) {
        let body = format!("book {request}");
        let answer = caller
            .call(PLAIN_SERVICE, &request, Some(&request), &body)
            .await;
        let is_right = |answer: &CallAnswer| answer.body == format!("ran:{body}");
        judge(&mut tally, answer, plan.deadline, is_right);
    } else {
        let prompt = format!("prompt of {request}");
        let answer = caller
            .generate(MODEL_SERVICE, &request, &prompt, plan.max_tokens)
            .await;
        let is_right = |answer: &CallAnswer| is_whole(answer, &prompt, plan.max_tokens);
        judge(&mut tally, answer, plan.deadline, is_right);
    }
    tally
}

fn judge(
    tally: &mut LoadTally,
    answer: Option<CallAnswer>,
    deadline: Duration,
    is_right: impl FnOnce(&CallAnswer) -> bool,
) {
    let Some(answer) = answer else {
        *tally.errors.entry("no_answer".to_owned()).or_default() += 1;
        return;
    };
    if !answer.status.is_success() {
        *tally.errors.entry(error_code(&answer)).or_default() += 1;
    } else if !answer.is_clean {
        tally.cut += 1;
    } else if !is_right(&answer) {
        tally.wrong += 1;
    } else {
        tally.add_times(answer.first_byte, answer.total);
        let is_on_time = answer.total <= deadline;
        *(if is_on_time {
            &mut tally.on_time
        } else {
            &mut tally.late
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

/// Whether the answer holds every chunk of `prompt` in order and its end.
fn is_whole(answer: &CallAnswer, prompt: &str, max_tokens: u32) -> bool {
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
