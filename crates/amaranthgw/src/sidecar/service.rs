//! gRPC service that receives attempts from entries.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{AttemptNumber, ChunkSequence, RequestId, ServiceId, TargetId, TokenCount};
use amaranthgw_fleet::gate::AdmissionPermit;
use amaranthgw_fleet::sidecar::{AttemptInput, AttemptRefusal, check_attempt};
use amaranthgw_fleet::suspects::SuspectVerdict;
use bytes::Bytes;
use futures_util::stream::BoxStream;
use futures_util::{StreamExt, stream};
use tokio::sync::mpsc::channel;
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status};

use super::attempt::{AttemptDriver, AttemptReport};
use super::queue::ExclusiveGuard;
use super::shared::SidecarShared;
use super::target::TargetCall;
use crate::link::RefusalCode;
use crate::telemetry::{EventLog, NodeEvent};
use crate::wire::node::run_event::Event;
use crate::wire::node::sidecar_server::Sidecar;
use crate::wire::node::{
    Admitted, Broken, Chunk, Finished, InspectRequest, Refused, RunEvent, RunRequest, TargetReport,
};
use crate::wire::refusal_code_name;

/// Number of chunks buffered between the target and the entry.
const CHUNK_BUFFER: usize = 64;

/// gRPC service of one traffic thread.
#[derive(Clone, Debug)]
pub(super) struct SidecarService {
    shared: Arc<SidecarShared>,
    log: EventLog,
}

/// A parsed attempt with valid identifiers.
struct ParsedAttempt {
    target: TargetId,
    service: ServiceId,
    alone: bool,
    wait: Duration,
    due: Duration,
    remaining: Duration,
    call: TargetCall,
}

/// A slot of the target, with exclusive use of the target if the attempt must run alone.
struct TakenSlot {
    permit: AdmissionPermit,
    alone: Option<ExclusiveGuard>,
}

type EventStream = BoxStream<'static, Result<RunEvent, Status>>;

impl SidecarService {
    /// Creates the service of one traffic thread.
    pub(super) const fn new(shared: Arc<SidecarShared>, log: EventLog) -> Self {
        Self { shared, log }
    }

    /// Checks and admits an attempt, and waits for a slot if the target is full.
    async fn admit(&self, parsed: &ParsedAttempt) -> Result<TakenSlot, RefusalCode> {
        self.check(parsed)?;
        let slot = self.take_slot(parsed).await?;
        // The target may have started to drain during the wait.
        if let Err(code) = self.check(parsed) {
            slot.permit.finish();
            return Err(code);
        }
        Ok(slot)
    }

    async fn take_slot(&self, parsed: &ParsedAttempt) -> Result<TakenSlot, RefusalCode> {
        let start_by = Instant::now() + parsed.wait;
        let queue = &self.shared.queue;
        if parsed.alone {
            let admitted = queue.admit_alone(start_by).await;
            let (permit, guard) = admitted.map_err(|_refusal| RefusalCode::NotAlone)?;
            return Ok(TakenSlot {
                permit,
                alone: Some(guard),
            });
        }
        let admitted = queue.admit(parsed.call.priority, start_by).await;
        let permit = admitted.map_err(|_refusal| RefusalCode::GateFull)?;
        Ok(TakenSlot {
            permit,
            alone: None,
        })
    }

    fn check(&self, parsed: &ParsedAttempt) -> Result<(), RefusalCode> {
        let input = AttemptInput {
            target: &parsed.target,
            service: &parsed.service,
            remaining: parsed.remaining,
        };
        if self.shared.reachability.is_unreachable() {
            return Err(RefusalCode::TargetUnreachable);
        }
        let status = self.shared.status.load();
        check_attempt(&self.shared.served, &status, &input).map_err(refusal_code)
    }

    fn start(&self, parsed: ParsedAttempt, slot: TakenSlot) -> EventStream {
        self.record_admitted(&parsed, &slot.permit);
        let (reports, receiver) = channel(CHUNK_BUFFER);
        let (request, attempt) = (parsed.call.request.clone(), parsed.call.attempt);
        let now = Instant::now();
        let driver = AttemptDriver {
            shared: Arc::clone(&self.shared),
            log: self.log.clone(),
            due_at: now + parsed.due,
            deadline: now + parsed.remaining,
            call: parsed.call,
            alone: slot.alone,
            reports,
        };
        tokio::spawn(driver.run(slot.permit));
        let admitted = Event::Admitted(Admitted {
            report: Some(self.shared.report()),
        });
        let shared = Arc::clone(&self.shared);
        let events = ReceiverStream::new(receiver)
            .map(move |report| encode_report(&shared, &request, attempt, report));
        stream::iter([admitted])
            .chain(events)
            .map(run_event)
            .map(Ok)
            .boxed()
    }

    fn refuse(&self, request: Option<&RequestId>, attempt: u32, code: RefusalCode) -> EventStream {
        if let Some(request) = request {
            self.record_refused(request, attempt, code);
        }
        let refused = Refused {
            code: code.into(),
            report: Some(self.shared.report()),
            request: request.map(RequestId::to_string).unwrap_or_default(),
            attempt,
        };
        stream::iter([Ok(run_event(Event::Refused(refused)))]).boxed()
    }

    fn record_admitted(&self, parsed: &ParsedAttempt, permit: &AdmissionPermit) {
        self.log.record(NodeEvent::AttemptAdmitted {
            request: parsed.call.request.clone(),
            attempt: parsed.call.attempt,
            target: parsed.target.clone(),
            in_flight: permit.in_flight(),
            limit: self.shared.slots.limit(),
        });
    }

    fn record_refused(&self, request: &RequestId, attempt: u32, code: RefusalCode) {
        self.log.record(NodeEvent::AttemptRefused {
            request: request.clone(),
            attempt: AttemptNumber::new(attempt),
            target: self.shared.served.target.clone(),
            code: refusal_code_name(code),
            in_flight: self.shared.slots.in_flight(),
            limit: self.shared.slots.limit(),
        });
    }
}

#[tonic::async_trait]
impl Sidecar for SidecarService {
    type RunStream = EventStream;

    async fn run(&self, request: Request<RunRequest>) -> Result<Response<Self::RunStream>, Status> {
        let request = request.into_inner();
        let attempt = request.attempt;
        let Some(parsed) = parse_request(request) else {
            return Ok(Response::new(self.refuse(
                None,
                attempt,
                RefusalCode::Invalid,
            )));
        };
        let events = match self.admit(&parsed).await {
            Ok(slot) => self.start(parsed, slot),
            Err(code) => self.refuse(Some(&parsed.call.request), attempt, code),
        };
        Ok(Response::new(events))
    }

    async fn inspect(
        &self,
        _request: Request<InspectRequest>,
    ) -> Result<Response<TargetReport>, Status> {
        Ok(Response::new(self.shared.report()))
    }
}

fn parse_request(request: RunRequest) -> Option<ParsedAttempt> {
    let call = TargetCall {
        request: request.request.parse().ok()?,
        attempt: AttemptNumber::new(request.attempt),
        resume_from: ChunkSequence::new(request.resume_from),
        max_tokens: TokenCount::new(request.max_tokens.into()),
        // The engine favours the calls whose late answers cost more.
        priority: request.refund_weight,
        body: request.body,
    };
    Some(ParsedAttempt {
        target: request.target.parse().ok()?,
        service: request.service.parse().ok()?,
        alone: request.alone,
        wait: Duration::from_millis(request.wait_ms),
        due: Duration::from_millis(request.due_ms),
        remaining: Duration::from_millis(request.remaining_ms),
        call,
    })
}

const fn refusal_code(refusal: AttemptRefusal) -> RefusalCode {
    match refusal {
        AttemptRefusal::WrongTarget => RefusalCode::WrongTarget,
        AttemptRefusal::Leaving => RefusalCode::Leaving,
        AttemptRefusal::Expired => RefusalCode::Expired,
    }
}

fn encode_report(
    shared: &SidecarShared,
    request: &RequestId,
    attempt: AttemptNumber,
    report: AttemptReport,
) -> Event {
    match report {
        AttemptReport::Chunk { sequence, data } => Event::Chunk(Chunk {
            sequence: sequence.get(),
            data,
        }),
        AttemptReport::Finished { chunk_count } => Event::Finished(Finished {
            chunk_count,
            report: Some(shared.report()),
        }),
        AttemptReport::Refused(code) => Event::Refused(Refused {
            code: code.into(),
            report: Some(shared.report()),
            request: request.to_string(),
            attempt: attempt.get(),
        }),
        AttemptReport::Broken(code, verdict) => Event::Broken(Broken {
            code: code.into(),
            report: Some(shared.report()),
            verdict: verdict
                .map(|verdict| verdict_json(&verdict))
                .unwrap_or_default(),
        }),
    }
}

fn verdict_json(verdict: &SuspectVerdict) -> Bytes {
    // Serialisation only fails for maps with non-string keys, of which there are none.
    serde_json::to_vec(verdict).unwrap_or_default().into()
}

fn run_event(event: Event) -> RunEvent {
    RunEvent { event: Some(event) }
}
