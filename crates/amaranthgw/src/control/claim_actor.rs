//! Claims on idempotency keys, written in groups.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use amaranthgw_fleet::claims::{
    BatcherTable, BodyFingerprint, CallBudget, CallNumber, ClaimBatcher, ClaimGrant, ClaimOutput,
    ClaimRefusal, ClaimSerial, ClaimSettings, ClaimStamp, ClaimSubmission, ClaimVerdict,
    ClockReading, HolderNumber, KeyHash, ShardNumber, StoreCall, StoreReply, StoredAnswer,
    tick_batchers,
};
use amaranthgw_fleet::gate::NotRunProof;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::ReportSender;
use crate::operator::unix_ms;
use crate::platform::{StoreClient, perform_claim_call};

/// What traffic threads ask of the claims.
#[derive(Debug)]
pub enum ClaimRequest {
    /// Ask to run a request.
    Ask(ClaimSubmission, oneshot::Sender<ClaimVerdict>),
    /// Record the end of a granted request.
    Finish(ClaimGrant, StoredAnswer),
    /// Give a claim back whose request is proven not to have run.
    Release(ClaimGrant, NotRunProof),
}

/// The claims as traffic threads use them.
#[derive(Clone, Debug)]
pub struct ClaimDesk {
    holder: HolderNumber,
    serials: Arc<AtomicU64>,
    requests: ReportSender<ClaimRequest>,
}

impl ClaimDesk {
    /// Creates the desk of a process that starts now.
    #[must_use]
    pub fn new(requests: ReportSender<ClaimRequest>) -> Self {
        let holder = HolderNumber::new(fastrand::u64(1..));
        Self {
            holder,
            serials: Arc::default(),
            requests,
        }
    }

    /// Asks to run `request` under its key and waits for the verdict.
    pub async fn claim(
        &self,
        key: KeyHash,
        fingerprint: BodyFingerprint,
        request: amaranthgw_core::RequestId,
        give_up_at: Instant,
    ) -> ClaimVerdict {
        let serial = ClaimSerial::new(self.serials.fetch_add(1, Ordering::Relaxed));
        let stamp = ClaimStamp {
            holder: self.holder,
            serial,
        };
        let ask = ClaimSubmission {
            stamp,
            key,
            fingerprint,
            request,
            give_up_at,
        };
        let (sender, verdict) = oneshot::channel();
        self.requests.send(ClaimRequest::Ask(ask, sender));
        // Without a control thread nothing is granted.
        verdict
            .await
            .unwrap_or(ClaimVerdict::Refused(ClaimRefusal::StoreUnavailable))
    }

    /// Records the end of a granted request.
    pub fn finish(&self, grant: ClaimGrant, answer: StoredAnswer) {
        self.requests.send(ClaimRequest::Finish(grant, answer));
    }

    /// Gives a claim back whose request is proven not to have run.
    pub fn release(&self, grant: ClaimGrant, proof: NotRunProof) {
        self.requests.send(ClaimRequest::Release(grant, proof));
    }
}

/// Owns the batchers of all claims of this process.
#[derive(Debug)]
pub struct ClaimActor;

/// State of the actor.
#[derive(Debug)]
pub struct ClaimState {
    store: Arc<dyn StoreClient>,
    settings: ClaimSettings,
    batchers: BatcherTable,
    budget: CallBudget,
    waiting: HashMap<ClaimStamp, oneshot::Sender<ClaimVerdict>>,
    next_wake: Option<Instant>,
}

/// Inputs of the actor.
#[derive(Debug)]
pub enum ClaimInput {
    /// A traffic thread asks for something.
    Request(ClaimRequest),
    /// The key-value service replied to a call.
    Reply(ShardNumber, CallNumber, StoreReply),
    /// A batcher is due.
    Wake,
}

impl Actor for ClaimActor {
    type Msg = ClaimInput;
    type State = ClaimState;
    type Arguments = Arc<dyn StoreClient>;

    async fn pre_start(
        &self,
        _myself: ActorRef<Self::Msg>,
        args: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let settings = ClaimSettings::default();
        Ok(ClaimState {
            store: args,
            budget: CallBudget::new(&settings, Instant::now()),
            settings,
            batchers: BatcherTable::new(),
            waiting: HashMap::new(),
            next_wake: None,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let clock = read_clock();
        match message {
            ClaimInput::Request(request) => state.take_request(request, clock.now),
            ClaimInput::Reply(shard, number, reply) => {
                let output = state.take_reply(shard, number, reply, clock);
                state.carry_out(&myself, output);
            }
            ClaimInput::Wake => state.next_wake = None,
        }
        for (_shard, output) in tick_batchers(&mut state.batchers, &mut state.budget, clock) {
            state.carry_out(&myself, output);
        }
        state.schedule_wake(&myself, clock.now);
        Ok(())
    }
}

impl ClaimState {
    fn take_request(&mut self, request: ClaimRequest, now: Instant) {
        match request {
            ClaimRequest::Ask(ask, sender) => {
                self.waiting.insert(ask.stamp, sender);
                self.batcher(ask.key.shard(), now).submit(ask, now);
            }
            ClaimRequest::Finish(grant, answer) => {
                self.batcher(grant.key().shard(), now)
                    .finish(&grant, answer, now);
            }
            ClaimRequest::Release(grant, proof) => {
                self.batcher(grant.key().shard(), now)
                    .release(&grant, proof);
            }
        }
    }

    fn take_reply(
        &mut self,
        shard: ShardNumber,
        number: CallNumber,
        reply: StoreReply,
        clock: ClockReading,
    ) -> ClaimOutput {
        let earliest_call_at = self.budget.earliest_call_at();
        let batcher = self.batcher(shard, clock.now);
        batcher.defer_calls(earliest_call_at);
        let output = batcher.reply(number, reply, clock);
        if output.call.is_some() {
            self.budget.charge(clock.now);
        }
        output
    }

    fn batcher(&mut self, shard: ShardNumber, now: Instant) -> &mut ClaimBatcher {
        let settings = &self.settings;
        let make = || ClaimBatcher::new(shard, settings.clone(), now);
        self.batchers.get_or_insert_with(shard, make)
    }

    fn carry_out(&mut self, myself: &ActorRef<ClaimInput>, output: ClaimOutput) {
        for (stamp, verdict) in output.verdicts {
            if let Some(waiting) = self.waiting.remove(&stamp) {
                // The request runs on without its caller, so somebody always waits.
                drop(waiting.send(verdict));
            }
        }
        if let Some(call) = output.call {
            self.call_store(myself.clone(), call);
        }
    }

    /// Sees to it that the next due batcher is ticked in time.
    fn schedule_wake(&mut self, myself: &ActorRef<ClaimInput>, now: Instant) {
        let due = self.batchers.rows().filter_map(ClaimBatcher::wake_at).min();
        let Some(wake_at) = due else { return };
        if self.next_wake.is_some_and(|planned| planned <= wake_at) {
            return;
        }
        self.next_wake = Some(wake_at);
        myself.send_after(wake_at.saturating_duration_since(now), || ClaimInput::Wake);
    }

    fn call_store(&self, myself: ActorRef<ClaimInput>, call: StoreCall) {
        let store = Arc::clone(&self.store);
        tokio::spawn(async move {
            let reply = perform_claim_call(store.as_ref(), &call).await;
            drop(myself.cast(ClaimInput::Reply(call.shard, call.number, reply)));
        });
    }
}

fn read_clock() -> ClockReading {
    ClockReading {
        now: Instant::now(),
        unix_ms: unix_ms(),
    }
}
