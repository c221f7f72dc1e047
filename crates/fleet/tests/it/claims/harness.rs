//! Test harness: several batchers that share one simulated value of the key-value service.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranthgw_core::{ByteCount, MilliSpan, StoreRevision};
use amaranthgw_fleet::claims::{
    BodyFingerprint, CallNumber, ClaimBatcher, ClaimGrant, ClaimId, ClaimOutput, ClaimRefusal,
    ClaimSerial, ClaimSettings, ClaimShard, ClaimSubmission, ClaimVerdict, ClockReading,
    HolderNumber, KeyHash, ShardNumber, StoreCall, StoreOperation, StoreReply, StoredAnswer,
};
use amaranthgw_fleet::gate::NotRunProof;
use proptest::prelude::*;
use tokio::time::Instant;

pub const BATCHERS: usize = 3;
pub const KEYS: u8 = 3;
const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);
const RETENTION_MS: u64 = 60_000;
const SKEW_MS: u64 = 1_000;
const START_UNIX_MS: u64 = 1_000_000;

pub type CaseResult = std::result::Result<(), TestCaseError>;

/// Simulated result of a call to the key-value service.
#[derive(Clone, Copy, Debug)]
pub enum CallFate {
    /// The call is applied and its reply arrives.
    Answered,
    /// The call took effect but its reply is lost.
    ReplyLost,
    /// The reply is lost and the call takes effect later.
    Delayed,
    /// The call never takes effect and its reply is lost.
    Dropped,
    /// The service is reported as unreachable; the call has no effect.
    Down,
}

#[derive(Clone, Copy, Debug)]
pub enum GrantUse {
    Run,
    Finish,
    Release,
}

pub fn settings() -> ClaimSettings {
    ClaimSettings {
        retention: MilliSpan::new(RETENTION_MS),
        clock_skew: MilliSpan::new(SKEW_MS),
        max_value: ByteCount::new(20_000),
        max_answer: ByteCount::new(64),
        ..ClaimSettings::default()
    }
}

pub fn key_hash(key: u8) -> KeyHash {
    let workspace = "tartu".parse().expect("valid id");
    let key = format!("key-{key}").parse().expect("valid key");
    KeyHash::new(&workspace, &key)
}

fn fingerprint(body: u8) -> BodyFingerprint {
    let service = "booking-desk".parse().expect("valid id");
    BodyFingerprint::new(&service, "POST /v1/call", &[body])
}

pub fn submission(serial: u64, key: u8, body: u8, give_up_at: Instant) -> ClaimSubmission {
    ClaimSubmission {
        id: ClaimId {
            holder: HolderNumber::new(1),
            serial: ClaimSerial::new(serial),
        },
        key: key_hash(key),
        fingerprint: fingerprint(body),
        request: "r-1".parse().expect("valid id"),
        give_up_at,
    }
}

/// Grant that blocks its key until it is released or its retention is over.
#[derive(Clone, Debug)]
struct HeldGrant {
    grant: ClaimGrant,
    granted_at: Instant,
    has_run: bool,
}

/// Process with one batcher.
struct Process {
    batcher: ClaimBatcher,
    holder: u64,
    call: Option<StoreCall>,
    late_reply: Option<(CallNumber, StoreReply)>,
    grants: Vec<(u8, ClaimGrant)>,
    without_verdict: BTreeMap<ClaimId, u8>,
    submitted_keys: Vec<u8>,
}

pub struct Harness {
    pub now: Instant,
    start: Instant,
    revision: u64,
    value: Option<Vec<u8>>,
    delayed: Vec<StoreOperation>,
    processes: Vec<Process>,
    next_serial: u64,
    /// Last grant of each key that was not released.
    held: BTreeMap<u8, HeldGrant>,
    /// Keys submitted to a process that crashed; their claims may remain stored until retention ends.
    orphaned: Vec<u8>,
}

impl Harness {
    pub fn new() -> Self {
        let now = Instant::now();
        Self {
            now,
            start: now,
            revision: 0,
            value: None,
            delayed: Vec::new(),
            processes: (0..BATCHERS)
                .map(|process| Process::new(process as u64, now))
                .collect(),
            next_serial: 0,
            held: BTreeMap::new(),
            orphaned: Vec::new(),
        }
    }

    /// Clocks of `process`; wall clocks differ by up to twice the skew.
    fn clock(&self, process: usize) -> ClockReading {
        let passed = u64::try_from((self.now - self.start).as_millis()).expect("short");
        let skew = [0, SKEW_MS, 2 * SKEW_MS][process];
        ClockReading {
            now: self.now,
            unix_ms: START_UNIX_MS - SKEW_MS + passed + skew,
        }
    }

    pub fn submit(&mut self, process: usize, key: u8, body: u8) -> CaseResult {
        self.next_serial += 1;
        let holder = self.processes[process].holder;
        let mut submission = submission(self.next_serial, key, body, self.now + CLAIM_TIMEOUT);
        submission.id.holder = HolderNumber::new(holder);
        let id = submission.id;
        self.processes[process].without_verdict.insert(id, key);
        self.processes[process].submitted_keys.push(key);
        self.processes[process].batcher.submit(submission, self.now);
        self.tick(process)
    }

    pub fn tick(&mut self, process: usize) -> CaseResult {
        let clock = self.clock(process);
        let output = self.processes[process].batcher.tick(clock);
        self.handle_output(process, output)
    }

    pub fn settle_call(&mut self, process: usize, fate: CallFate) -> CaseResult {
        let Some(call) = self.processes[process].call.take() else {
            return Ok(());
        };
        let reply = match fate {
            CallFate::Answered => self.apply(&call.operation),
            CallFate::ReplyLost => {
                let late = self.apply(&call.operation);
                self.processes[process].late_reply = Some((call.number, late));
                StoreReply::Lost
            }
            CallFate::Delayed => {
                self.delayed.push(call.operation);
                StoreReply::Lost
            }
            CallFate::Dropped => StoreReply::Lost,
            CallFate::Down => StoreReply::Down,
        };
        let clock = self.clock(process);
        let output = self.processes[process]
            .batcher
            .reply(call.number, reply, clock);
        self.handle_output(process, output)
    }

    /// Delivers a reply that was reported as lost.
    pub fn deliver_late_reply(&mut self, process: usize) -> CaseResult {
        let Some((number, reply)) = self.processes[process].late_reply.take() else {
            return Ok(());
        };
        let clock = self.clock(process);
        let output = self.processes[process].batcher.reply(number, reply, clock);
        self.handle_output(process, output)
    }

    pub fn apply_delayed(&mut self) {
        if let Some(operation) = self.delayed.pop() {
            self.apply(&operation);
        }
    }

    /// Restarts the process with empty state; its call in flight may still take effect.
    pub fn crash(&mut self, process: usize) {
        let holder = self.processes[process].holder + 1_000;
        let fresh = Process::new(holder, self.now);
        let crashed = std::mem::replace(&mut self.processes[process], fresh);
        self.delayed.extend(crashed.call.map(|call| call.operation));
        self.orphaned.extend(crashed.submitted_keys);
    }

    pub fn use_grant(&mut self, process: usize, choice: usize, grant_use: GrantUse) {
        let Some(position) = choice.checked_rem(self.processes[process].grants.len()) else {
            return;
        };
        let (key, grant) = self.processes[process].grants[position];
        let held = self.held.get_mut(&key).filter(|held| held.grant == grant);
        let Some(held) = held else {
            return;
        };
        match grant_use {
            GrantUse::Run if grant.check(self.now).is_ok() => held.has_run = true,
            GrantUse::Finish if held.has_run => {
                let answer = answer_of(key);
                let now = self.now;
                self.processes[process].grants.swap_remove(position);
                self.processes[process].batcher.finish(&grant, answer, now);
            }
            GrantUse::Release if !held.has_run => {
                self.held.remove(&key);
                self.processes[process].grants.swap_remove(position);
                let proof = NotRunProof::with_connect_refused();
                self.processes[process].batcher.release(&grant, proof);
            }
            _ => {}
        }
    }

    /// Runs for 3 s without faults, then checks that every claim has a verdict.
    pub fn run_without_faults(&mut self) -> CaseResult {
        while !self.delayed.is_empty() {
            self.apply_delayed();
        }
        for _ in 0..150 {
            self.now += Duration::from_millis(20);
            for process in 0..BATCHERS {
                self.tick(process)?;
                self.settle_call(process, CallFate::Answered)?;
            }
        }
        let without_verdict = self
            .processes
            .iter()
            .map(|process| process.without_verdict.len());
        prop_assert_eq!(
            without_verdict.sum::<usize>(),
            0,
            "claims without a verdict"
        );
        Ok(())
    }

    /// Whether the key has to be free: it has no unreleased grant, and no process crashed after
    /// submitting a claim on it.
    pub fn must_be_free(&self, key: u8) -> bool {
        !self.held.contains_key(&key) && !self.orphaned.contains(&key)
    }

    pub fn holds_grant(&self, process: usize, key: u8) -> bool {
        self.processes[process]
            .grants
            .iter()
            .any(|(granted, _)| *granted == key)
    }

    fn handle_output(&mut self, process: usize, output: ClaimOutput) -> CaseResult {
        if let Some(call) = output.call {
            prop_assert!(
                self.processes[process].call.is_none(),
                "second call in flight"
            );
            self.processes[process].call = Some(call);
        }
        for (id, verdict) in output.verdicts {
            let key = self.processes[process].without_verdict.remove(&id);
            let Some(key) = key else {
                return Err(TestCaseError::fail(format!(
                    "second verdict for one claim: {verdict:?}"
                )));
            };
            self.check_verdict(process, key, verdict)?;
        }
        Ok(())
    }

    fn check_verdict(&mut self, process: usize, key: u8, verdict: ClaimVerdict) -> CaseResult {
        match verdict {
            ClaimVerdict::Granted(grant) => self.check_grant(process, key, grant),
            ClaimVerdict::Finished(answer) => {
                prop_assert_eq!(answer, answer_of(key));
                Ok(())
            }
            ClaimVerdict::OutcomeUnknown { .. }
            | ClaimVerdict::Refused(ClaimRefusal::StoreUnavailable | ClaimRefusal::KeyReused) => {
                Ok(())
            }
            ClaimVerdict::Refused(other) => Err(TestCaseError::fail(format!("{other:?}"))),
        }
    }

    fn check_grant(&mut self, process: usize, key: u8, grant: ClaimGrant) -> CaseResult {
        let granted_at = self.now;
        if let Some(earlier) = self.held.get(&key) {
            let age = granted_at - earlier.granted_at;
            prop_assert!(
                age + CLAIM_TIMEOUT >= Duration::from_millis(RETENTION_MS),
                "key {key} was granted again after {age:?}: {earlier:?}, then {grant:?}"
            );
        }
        let has_run = false;
        self.held.insert(
            key,
            HeldGrant {
                grant,
                granted_at,
                has_run,
            },
        );
        self.processes[process].grants.push((key, grant));
        Ok(())
    }

    fn apply(&mut self, operation: &StoreOperation) -> StoreReply {
        match operation {
            StoreOperation::Read => self.read(),
            StoreOperation::Swap { expect, content } => {
                if expect.get() != self.revision {
                    return StoreReply::Conflict;
                }
                let encoded = serde_json::to_vec(content).expect("encodes");
                let bound = usize::try_from(content.size_bound().get()).expect("fits");
                assert!(
                    encoded.len() <= bound,
                    "{} bytes, bound is {bound}",
                    encoded.len()
                );
                self.revision += 1;
                self.value = Some(encoded);
                let revision = StoreRevision::new(self.revision);
                StoreReply::Swapped { revision }
            }
        }
    }

    fn read(&self) -> StoreReply {
        let Some(encoded) = &self.value else {
            return StoreReply::Absent;
        };
        let content: ClaimShard = serde_json::from_slice(encoded).expect("decodes");
        let revision = StoreRevision::new(self.revision);
        StoreReply::Value { revision, content }
    }
}

impl Process {
    fn new(holder: u64, now: Instant) -> Self {
        Self {
            batcher: ClaimBatcher::new(ShardNumber::new(0), settings(), now),
            holder,
            call: None,
            late_reply: None,
            grants: Vec::new(),
            without_verdict: BTreeMap::new(),
            submitted_keys: Vec::new(),
        }
    }
}

fn answer_of(key: u8) -> StoredAnswer {
    let body = format!("{{\"booked\":{key}}}");
    StoredAnswer::new(200, body.as_bytes(), 64)
}
