//! One attempt of a request at one target, over a new or a pooled connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_fleet::gateway::{
    FlightGuard, GroupGauge, StreamGuard, TargetCandidate, TargetGauge,
};
use amaranthgw_fleet::memory::ByteHolder;
use amaranthgw_net::{DialSettings, HttpConnection, NetError, dial};
use amaranthgw_platform::answer::{AnswerHead, AnswerKind, decode_head};
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString, format_compact};
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use super::sends::SendMark;
use super::shared::GatewayThread;
use crate::memory::{HeldBody, read_held};

/// Time limit of a connection attempt to a target: about a hundred handshakes within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which unacknowledged data closes a connection to a target.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Keep-alive timeout assumed for a target that doesn't announce one.
pub(super) const DEFAULT_KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(4);
/// Share of a target's keep-alive timeout for which an idle connection is reused, so that a request
/// is not sent while the target closes the connection.
const KEEP_ALIVE_SHARE: f64 = 0.7;

/// Longest body of a rejection that is read.
const MAX_REJECTION_BYTES: usize = 16 * 1024;
/// Longest time for which the body of a rejection is read.
const REJECTION_READ_TIMEOUT: Duration = Duration::from_millis(50);

/// Reason why an attempt produced no valid answer to its request.
#[derive(Debug)]
pub(super) enum AttemptFailure {
    /// The request was not sent.
    Unsent(NetError),
    /// The deadline passed before the request could be sent.
    TooLate,
    /// The target answered that it did not run the request.
    NotRun(StatusCode),
    /// The connection broke; the target may have run the request.
    Broken(NetError),
    /// No answer arrived in time; the target may run the request.
    TimedOut,
    /// The answer belongs to another request; the target may have run this one.
    Foreign,
}

impl AttemptFailure {
    /// Whether the target certainly did not run the request.
    pub(super) const fn is_not_run(&self) -> bool {
        matches!(self, Self::Unsent(_) | Self::TooLate | Self::NotRun(_))
    }

    /// Whether no process listened at the target's address.
    fn is_target_down(&self) -> bool {
        let Self::Unsent(NetError::Dial { source }) = self else {
            return false;
        };
        source.kind() == std::io::ErrorKind::ConnectionRefused
    }

    /// Details for the log; empty if there are none beyond the name.
    pub(super) fn detail(&self) -> CompactString {
        match self {
            Self::Unsent(error) | Self::Broken(error) => error.to_compact_string(),
            Self::NotRun(status) => format_compact!("status {}", status.as_u16()),
            Self::TooLate | Self::TimedOut | Self::Foreign => CompactString::default(),
        }
    }

    /// Name of the failure in logs and metrics.
    pub(super) const fn name(&self) -> &'static str {
        match self {
            Self::Unsent(_) => "unsent",
            Self::TooLate => "too_late",
            Self::NotRun(StatusCode::MISDIRECTED_REQUEST) => "other_target",
            Self::NotRun(_) => "not_run",
            Self::Broken(_) => "broken",
            Self::TimedOut => "no_answer",
            Self::Foreign => "foreign_answer",
        }
    }
}

/// An attempt whose answer head has arrived.
#[derive(Debug)]
pub(super) struct OpenAttempt {
    /// Send that the target answers.
    pub(super) mark: SendMark,
    /// Decoded head of the answer.
    pub(super) head: AnswerHead,
    /// Headers of the answer, as received.
    pub(super) headers: HeaderMap,
    /// Unread body of the answer.
    pub(super) body: Incoming,
    connection: HttpConnection,
    flight: FlightGuard,
    _stream: Option<StreamGuard>,
}

/// One send of a request to a target.
#[derive(Debug)]
pub(super) struct AttemptInput {
    /// Target, with the inputs of its choice.
    pub(super) mark: SendMark,
    /// The request.
    pub(super) request: Request<Full<Bytes>>,
    /// Time until which the head of the answer has to arrive.
    pub(super) deadline: Instant,
    /// Whether the target has refused the request before. It may write that refusal once more on the
    /// connection that carried it.
    pub(super) was_refused: bool,
}

/// Sends a request to a target and waits for the head of the answer.
pub(super) async fn open_attempt(
    thread: Arc<GatewayThread>,
    input: AttemptInput,
) -> Result<OpenAttempt, AttemptFailure> {
    let target = &input.mark.target;
    let slot_time = input.mark.basis.slot_time();
    let flight = TargetGauge::begin_work(&target.gauge, slot_time, Instant::now());
    let opened = send(&thread, &input).await;
    let now = Instant::now();
    let sent = opened.inspect_err(|failure| {
        record_unopened(target, failure, now);
        // A process that ends breaks all its connections; this one was the last.
        let is_last_broken =
            matches!(failure, AttemptFailure::Broken(_)) && target.gauge.in_flight() <= 1;
        if is_last_broken || failure.is_target_down() {
            target.gauge.record_down(cold_time(&thread, target), now);
        }
    })?;
    let (parts, body) = sent.response.into_parts();
    let mut head = decode_head(parts.status, &parts.headers, input.request.headers());
    if head.kind == AnswerKind::UnnamedNotRun {
        head.kind = if sent.was_fresh {
            AnswerKind::NotRun
        } else {
            AnswerKind::Foreign
        };
    }
    record_head(&target.gauge, &head, now);
    let group = target.group.as_ref().filter(|_| head.is_event_stream);
    let mut attempt = OpenAttempt {
        mark: input.mark.clone(),
        head,
        headers: parts.headers,
        body,
        connection: sent.connection,
        flight,
        _stream: group.map(|group| GroupGauge::begin_stream(group, now)),
    };
    match head.kind {
        AnswerKind::Own => {
            attempt.flight.record_acceptance();
            Ok(attempt)
        }
        AnswerKind::NotRun => {
            // Reading a short body allows the connection to be reused; any other is reset.
            let reading = attempt.collect(&thread, MAX_REJECTION_BYTES, None);
            drop(timeout_at(input.deadline.min(now + REJECTION_READ_TIMEOUT), reading).await);
            if head.status == StatusCode::MISDIRECTED_REQUEST {
                target.gauge.record_displacement(now);
            } else {
                target.gauge.record_rejection(now);
            }
            Err(AttemptFailure::NotRun(head.status))
        }
        AnswerKind::UnnamedNotRun | AnswerKind::Foreign => {
            target.gauge.record_failure(now);
            Err(AttemptFailure::Foreign)
        }
    }
}

/// Time for which the target is cold after a start.
fn cold_time(thread: &GatewayThread, target: &TargetCandidate) -> Duration {
    let snapshot = thread.shared.snapshot.load();
    let service = snapshot.routes.services.get(&target.record.service);
    service.map_or(Duration::ZERO, |service| service.cold_time.duration())
}

/// Records what the failure of a send says of its target.
fn record_unopened(target: &TargetCandidate, failure: &AttemptFailure, now: Instant) {
    if matches!(failure, AttemptFailure::TooLate) {
        return;
    }
    target.gauge.record_failure(now);
    if let (AttemptFailure::Unsent(NetError::Dial { .. }), Some(group)) = (failure, &target.group) {
        // A rank group can't run without all its ranks.
        group.suspect(now);
    }
}

/// Records what the head of an answer says of its target.
fn record_head(gauge: &TargetGauge, head: &AnswerHead, now: Instant) {
    if head.is_leaving {
        gauge.record_leaving(true);
    }
    if let Some(time) = head.retry_after {
        gauge.record_hold(time, now);
    }
    if let Some(load) = head.load {
        gauge.record_load(load.in_flight, now);
    }
}

/// Opens a connection to the target at `address`.
pub(super) async fn dial_target(address: SocketAddr) -> amaranthgw_net::Result<HttpConnection> {
    let settings = DialSettings::new(CONNECT_TIMEOUT)
        .with_silence_timeout(TCP_USER_TIMEOUT)
        .with_reset_on_close();
    dial(address, settings).await
}

/// A request that was sent, with the head of its answer.
struct SentRequest {
    connection: HttpConnection,
    response: http::Response<Incoming>,
    /// Whether the connection carried no request before.
    was_fresh: bool,
}

/// Sends the request and waits for the head of the answer, both until the deadline. Only a request for which
/// a connection was open may have run.
async fn send(thread: &GatewayThread, input: &AttemptInput) -> Result<SentRequest, AttemptFailure> {
    loop {
        let mut connection = timeout_at(input.deadline, connect(thread, input))
            .await
            .map_err(|_elapsed| AttemptFailure::TooLate)?
            .map_err(AttemptFailure::Unsent)?;
        input.mark.basis.record_connected();
        let was_fresh = connection.is_fresh();
        let answered = timeout_at(input.deadline, connection.send(input.request.clone())).await;
        match answered.map_err(|_elapsed| AttemptFailure::TimedOut)? {
            Ok(response) => {
                return Ok(SentRequest {
                    connection,
                    response,
                    was_fresh,
                });
            }
            // A pooled connection closed while idle: no failure of the target.
            Err(NetError::Unsent) if !was_fresh => {}
            Err(error) if error.is_unsent() => return Err(AttemptFailure::Unsent(error)),
            Err(error) => return Err(AttemptFailure::Broken(error)),
        }
    }
}

/// A connection to the target: a pooled one, or else a new one.
async fn connect(
    thread: &GatewayThread,
    input: &AttemptInput,
) -> amaranthgw_net::Result<HttpConnection> {
    let address = input.mark.target.record.address;
    let pooled = if input.was_refused {
        None
    } else {
        thread.pool.take(address)
    };
    match pooled {
        Some(pooled) => Ok(pooled),
        None => dial_target(address).await,
    }
}

impl OpenAttempt {
    /// Reads the whole body, of at most `limit` bytes, for `reader` if it is passed on, and returns the connection to the pool unless
    /// the target closes it.
    ///
    /// # Errors
    ///
    /// Returns a [`BodyReadError`](crate::memory::BodyReadError) if the body is too long or breaks off,
    /// or if the process has no memory for it.
    pub(super) async fn collect(
        mut self,
        thread: &GatewayThread,
        limit: usize,
        reader: Option<ByteHolder>,
    ) -> crate::memory::Result<HeldBody> {
        let holder = ByteHolder::Target(self.target().record.target.clone());
        let memory = &thread.shared.memory;
        let collected = read_held(&mut self.body, limit, memory, holder, reader).await?;
        self.finish(thread);
        Ok(collected)
    }

    /// Returns the connection to the pool unless the target closes it; to be called once the whole
    /// body was read.
    pub(super) fn finish(self, thread: &GatewayThread) {
        if self.head.closes {
            return;
        }
        let idle_timeout = self
            .head
            .keep_alive
            .unwrap_or(DEFAULT_KEEP_ALIVE_TIMEOUT)
            .mul_f64(KEEP_ALIVE_SHARE);
        thread.pool.put(
            self.mark.target.record.address,
            self.connection,
            idle_timeout,
        );
    }

    /// Whether the answer tells where it ends. Another may have been cut by a crash of the target.
    pub(super) fn is_framed(&self) -> bool {
        self.headers.contains_key(header::CONTENT_LENGTH)
            || self.headers.contains_key(header::TRANSFER_ENCODING)
    }

    /// Target that runs the request.
    pub(super) const fn target(&self) -> &TargetCandidate {
        &self.mark.target
    }

    /// The target's load and failures, as seen by this process.
    pub(super) fn gauge(&self) -> &Arc<TargetGauge> {
        &self.mark.target.gauge
    }
}
