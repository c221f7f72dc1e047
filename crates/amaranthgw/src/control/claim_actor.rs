//! Claims on idempotency keys, written in groups.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use amaranthgw_core::EntityTable;
use amaranthgw_fleet::claims::{
    BodyFingerprint, CallNumber, ClaimAsk, ClaimBatcher, ClaimGrant, ClaimOutput, ClaimRefusal,
    ClaimSerial, ClaimSettings, ClaimStamp, ClaimVerdict, ClockReading, HolderNumber, KeyHash,
    ShardNumber, StoreCall, StoreReply, StoredAnswer,
};
use amaranthgw_fleet::gate::NotRunProof;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::ReportSender;
use crate::platform::{StoreClient, perform_claim_call};

/// What traffic threads ask of the claims.
#[derive(Debug)]
pub enum ClaimRequest {
    /// Ask to run a request.
    Ask(ClaimAsk, oneshot::Sender<ClaimVerdict>),
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
        let ask = ClaimAsk {
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
    batchers: EntityTable<ShardNumber, ClaimBatcher>,
    waiting: HashMap<ClaimStamp, oneshot::Sender<ClaimVerdict>>,
}

/// Inputs of the actor.
#[derive(Debug)]
pub enum ClaimInput {
    /// A traffic thread asks for something.
    Request(ClaimRequest),
    /// The key-value service replied to a call.
    Reply(ShardNumber, CallNumber, StoreReply),
    /// A batcher is due.
    Wake(ShardNumber),
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
        Ok(ClaimState {
            store: args,
            settings: ClaimSettings::default(),
            batchers: EntityTable::new(),
            waiting: HashMap::new(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let clock = read_clock();
        let (shard, output) = match message {
            ClaimInput::Request(request) => state.take_request(request, clock),
            ClaimInput::Reply(shard, number, reply) => {
                let batcher = state.batcher(shard, clock.now);
                (shard, batcher.reply(number, reply, clock))
            }
            ClaimInput::Wake(shard) => (shard, state.batcher(shard, clock.now).tick(clock)),
        };
        state.carry_out(&myself, shard, output, clock.now);
        Ok(())
    }
}

impl ClaimState {
    fn take_request(
        &mut self,
        request: ClaimRequest,
        clock: ClockReading,
    ) -> (ShardNumber, ClaimOutput) {
        let shard = match &request {
            ClaimRequest::Ask(ask, _) => ask.key.shard(),
            ClaimRequest::Finish(grant, _) | ClaimRequest::Release(grant, _) => grant.key().shard(),
        };
        if let ClaimRequest::Ask(ask, _) = &request {
            self.batcher(shard, clock.now).ask(ask.clone(), clock.now);
        }
        match request {
            ClaimRequest::Ask(ask, sender) => drop(self.waiting.insert(ask.stamp, sender)),
            ClaimRequest::Finish(grant, answer) => {
                self.batcher(shard, clock.now)
                    .finish(&grant, answer, clock.now);
            }
            ClaimRequest::Release(grant, proof) => {
                self.batcher(shard, clock.now).release(&grant, proof);
            }
        }
        (shard, self.batcher(shard, clock.now).tick(clock))
    }

    fn batcher(&mut self, shard: ShardNumber, now: Instant) -> &mut ClaimBatcher {
        let settings = &self.settings;
        let make = || ClaimBatcher::new(shard, settings.clone(), now);
        self.batchers.get_or_insert_with(shard, make)
    }

    fn carry_out(
        &mut self,
        myself: &ActorRef<ClaimInput>,
        shard: ShardNumber,
        output: ClaimOutput,
        now: Instant,
    ) {
        for (stamp, verdict) in output.verdicts {
            if let Some(waiting) = self.waiting.remove(&stamp) {
                // The request runs on without its caller, so somebody always waits.
                drop(waiting.send(verdict));
            }
        }
        if let Some(call) = output.call {
            self.call_store(myself.clone(), call);
        }
        if let Some(wake_at) = self.batcher(shard, now).wake_at() {
            let wait = wake_at.saturating_duration_since(now);
            myself.send_after(wait, move || ClaimInput::Wake(shard));
        }
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
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let unix_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
    ClockReading {
        now: Instant::now(),
        unix_ms,
    }
}
