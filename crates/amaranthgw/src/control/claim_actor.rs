//! Claims on idempotency keys, written to the key-value service in batches per shard.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use amaranthgw_fleet::claims::{
    BatcherTable, BodyFingerprint, CallBudget, CallNumber, ClaimBatcher, ClaimGrant, ClaimId,
    ClaimOutput, ClaimRefusal, ClaimSerial, ClaimSettings, ClaimSubmission, ClaimVerdict,
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

/// Request of a traffic thread about a claim.
#[derive(Debug)]
pub enum ClaimRequest {
    /// Claims a key; the verdict is sent back through the channel.
    Claim(ClaimSubmission, oneshot::Sender<ClaimVerdict>),
    /// Stores the answer of a claimed request that ran.
    Finish(ClaimGrant, StoredAnswer),
    /// Releases the claim of a request that provably did not run.
    Release(ClaimGrant, NotRunProof),
}

/// Client of the claims for traffic threads; sends their requests to the control thread.
#[derive(Clone, Debug)]
pub struct ClaimManager {
    holder: HolderNumber,
    serials: Arc<AtomicU64>,
    requests: ReportSender<ClaimRequest>,
}

impl ClaimManager {
    /// Creates the manager of this process, with a random holder number.
    #[must_use]
    pub fn new(requests: ReportSender<ClaimRequest>) -> Self {
        let holder = HolderNumber::new(fastrand::u64(1..));
        Self {
            holder,
            serials: Arc::default(),
            requests,
        }
    }

    /// Claims `key` for `request` and waits for the verdict, until `give_up_at` at most.
    pub async fn claim(
        &self,
        key: KeyHash,
        fingerprint: BodyFingerprint,
        request: amaranthgw_core::RequestId,
        give_up_at: Instant,
    ) -> ClaimVerdict {
        let serial = ClaimSerial::new(self.serials.fetch_add(1, Ordering::Relaxed));
        let id = ClaimId {
            holder: self.holder,
            serial,
        };
        let submission = ClaimSubmission {
            id,
            key,
            fingerprint,
            request,
            give_up_at,
        };
        let (sender, verdict) = oneshot::channel();
        self.requests.send(ClaimRequest::Claim(submission, sender));
        // The channel closes without a verdict only if the control thread has ended.
        verdict
            .await
            .unwrap_or(ClaimVerdict::Refused(ClaimRefusal::StoreUnavailable))
    }

    /// Stores the answer of a claimed request that ran.
    pub fn finish(&self, grant: ClaimGrant, answer: StoredAnswer) {
        self.requests.send(ClaimRequest::Finish(grant, answer));
    }

    /// Releases the claim of a request that provably did not run.
    pub fn release(&self, grant: ClaimGrant, proof: NotRunProof) {
        self.requests.send(ClaimRequest::Release(grant, proof));
    }
}

/// Actor that owns the claim batchers of this process, one per shard.
#[derive(Debug)]
pub struct ClaimActor;

/// State of [`ClaimActor`].
#[derive(Debug)]
pub struct ClaimState {
    store: Arc<dyn StoreClient>,
    settings: ClaimSettings,
    batchers: BatcherTable,
    budget: CallBudget,
    waiting: HashMap<ClaimId, oneshot::Sender<ClaimVerdict>>,
    next_wake: Option<Instant>,
}

/// Messages of [`ClaimActor`].
#[derive(Debug)]
pub enum ClaimInput {
    /// A request of a traffic thread.
    Request(ClaimRequest),
    /// The key-value service replied to a call.
    Reply(ShardNumber, CallNumber, StoreReply),
    /// The timer of a batcher expired.
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
            ClaimInput::Request(request) => state.handle_request(request, clock.now),
            ClaimInput::Reply(shard, number, reply) => {
                let output = state.handle_reply(shard, number, reply, clock);
                state.handle_output(&myself, output);
            }
            ClaimInput::Wake => state.next_wake = None,
        }
        for (_shard, output) in tick_batchers(&mut state.batchers, &mut state.budget, clock) {
            state.handle_output(&myself, output);
        }
        state.schedule_wake(&myself, clock.now);
        Ok(())
    }
}

impl ClaimState {
    fn handle_request(&mut self, request: ClaimRequest, now: Instant) {
        match request {
            ClaimRequest::Claim(submission, sender) => {
                self.waiting.insert(submission.id, sender);
                self.batcher(submission.key.shard(), now)
                    .submit(submission, now);
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

    fn handle_reply(
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

    fn handle_output(&mut self, myself: &ActorRef<ClaimInput>, output: ClaimOutput) {
        for (id, verdict) in output.verdicts {
            if let Some(waiting) = self.waiting.remove(&id) {
                // Fails only while the process stops: a request waits for its verdict even after its
                // caller has disconnected.
                drop(waiting.send(verdict));
            }
        }
        if let Some(call) = output.call {
            self.call_store(myself.clone(), call);
        }
    }

    /// Schedules a wake-up for the earliest batcher timer, unless one is scheduled already.
    fn schedule_wake(&mut self, myself: &ActorRef<ClaimInput>, now: Instant) {
        let earliest = self.batchers.rows().filter_map(ClaimBatcher::wake_at).min();
        let Some(wake_at) = earliest else { return };
        if self.next_wake.is_some_and(|scheduled| scheduled <= wake_at) {
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
