//! One attempt of a request at one target.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_fleet::gateway::{FlightGuard, GroupGauge, GroupStream, TargetChoice, TargetGauge};
use amaranthgw_net::{DialSettings, HttpConnection, NetError, dial};
use amaranthgw_platform::answer::{AnswerHead, AnswerKind, decode_head};
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString, format_compact};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use super::shared::GatewayThread;

/// Longest wait for a connection to a target: some hundred times a handshake within a region.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// Time after which unacknowledged bytes end a connection to a target.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// How long an idle connection is used where the target does not say how long it keeps it.
const DEFAULT_KEEP: Duration = Duration::from_secs(4);
/// Part of the time that a target keeps an idle connection after which it is no longer used,
/// so that a request does not cross its closing.
const KEEP_PART: f64 = 0.7;

/// Why an attempt gave no answer of the target to this request.
#[derive(Debug)]
pub(super) enum AttemptFailure {
    /// Nothing reached the target.
    Unsent(NetError),
    /// The target says that it did not run the request.
    NotRun(StatusCode),
    /// The connection broke; the target may have run the request.
    Broken(NetError),
    /// No answer came in time; the target may run the request.
    TimedOut,
    /// What came is not an answer to this request; the target may have run it.
    Foreign,
    /// The target's rank group stands still; the target may run the request.
    GroupStalled,
}

impl AttemptFailure {
    /// Whether the target certainly did not run the request.
    pub(super) const fn is_not_run(&self) -> bool {
        matches!(self, Self::Unsent(_) | Self::NotRun(_))
    }

    /// What went wrong in detail; empty where the name says it all.
    pub(super) fn detail(&self) -> CompactString {
        match self {
            Self::Unsent(error) | Self::Broken(error) => error.to_compact_string(),
            Self::NotRun(status) => format_compact!("status {}", status.as_u16()),
            Self::TimedOut | Self::Foreign | Self::GroupStalled => CompactString::default(),
        }
    }

    /// Name for logs and metrics.
    pub(super) const fn name(&self) -> &'static str {
        match self {
            Self::Unsent(_) => "unsent",
            Self::NotRun(StatusCode::MISDIRECTED_REQUEST) => "other_target",
            Self::NotRun(_) => "not_run",
            Self::Broken(_) => "broken",
            Self::TimedOut => "no_answer",
            Self::Foreign => "foreign_answer",
            Self::GroupStalled => "group_stalled",
        }
    }
}

/// An attempt whose answer has begun.
#[derive(Debug)]
pub(super) struct OpenAttempt {
    /// Where the request runs.
    pub(super) target: TargetChoice,
    /// What the head of the answer says.
    pub(super) head: AnswerHead,
    /// Headers of the answer.
    pub(super) headers: HeaderMap,
    /// The rest of the answer.
    pub(super) body: Incoming,
    connection: HttpConnection,
    _flight: FlightGuard,
    _stream: Option<GroupStream>,
}

/// Sends `request` to `target` and waits until `give_up_at` for the head of the answer.
pub(super) async fn open_attempt(
    thread: &GatewayThread,
    target: &TargetChoice,
    request: &Request<Full<Bytes>>,
    give_up_at: Instant,
) -> Result<OpenAttempt, AttemptFailure> {
    let flight = TargetGauge::begin_request(&target.gauge);
    let opening = send(thread, target, request);
    let opened = timeout_at(give_up_at, opening).await;
    let now = Instant::now();
    let opened = opened.unwrap_or(Err(AttemptFailure::TimedOut));
    let (connection, response) = opened.inspect_err(|failure| {
        target.gauge.record_failure(now);
        if let (AttemptFailure::Unsent(NetError::Dial { .. }), Some(group)) =
            (failure, &target.group)
        {
            // A rank that is down stops its whole group.
            group.suspect(now);
        }
    })?;
    let (parts, body) = response.into_parts();
    let head = decode_head(parts.status, &parts.headers, request.headers());
    if let Some(load) = head.load {
        target.gauge.record_load(load.in_flight, now);
    }
    let group = target.group.as_ref().filter(|_| head.is_event_stream);
    let attempt = OpenAttempt {
        target: target.clone(),
        head,
        headers: parts.headers,
        body,
        connection,
        _flight: flight,
        _stream: group.map(|group| GroupGauge::begin_stream(group, now)),
    };
    match head.kind {
        AnswerKind::Own => Ok(attempt),
        AnswerKind::NotRun => {
            // The refusal is short; reading it keeps the connection.
            drop(timeout_at(give_up_at, attempt.collect(thread)).await);
            if head.status == StatusCode::MISDIRECTED_REQUEST {
                target.gauge.record_displacement(now);
            } else {
                target.gauge.record_rejection(now);
            }
            Err(AttemptFailure::NotRun(head.status))
        }
        AnswerKind::Foreign => {
            target.gauge.record_failure(now);
            Err(AttemptFailure::Foreign)
        }
    }
}

async fn send(
    thread: &GatewayThread,
    target: &TargetChoice,
    request: &Request<Full<Bytes>>,
) -> Result<(HttpConnection, http::Response<Incoming>), AttemptFailure> {
    let address = target.record.address;
    loop {
        let mut connection = if let Some(kept) = thread.pool.take(address) {
            kept
        } else {
            let settings = DialSettings::new(CONNECT_LIMIT)
                .with_silence_timeout(SILENCE_LIMIT)
                .with_reset_on_close();
            let dialled = dial(address, settings).await;
            dialled.map_err(AttemptFailure::Unsent)?
        };
        let was_fresh = connection.is_fresh();
        match connection.send(request.clone()).await {
            Ok(response) => return Ok((connection, response)),
            // A kept connection that had closed says nothing about the target.
            Err(NetError::Unsent) if !was_fresh => {}
            Err(error) if error.is_unsent() => return Err(AttemptFailure::Unsent(error)),
            Err(error) => return Err(AttemptFailure::Broken(error)),
        }
    }
}

impl OpenAttempt {
    /// Reads the whole answer and keeps the connection.
    pub(super) async fn collect(mut self, thread: &GatewayThread) -> Result<Bytes, hyper::Error> {
        let collected = (&mut self.body).collect().await?;
        self.finish(thread);
        Ok(collected.to_bytes())
    }

    /// Keeps the connection after the whole answer was read.
    pub(super) fn finish(self, thread: &GatewayThread) {
        if self.head.closes {
            return;
        }
        let keep = self
            .head
            .keeps_open
            .unwrap_or(DEFAULT_KEEP)
            .mul_f64(KEEP_PART);
        thread
            .pool
            .put(self.target.record.address, self.connection, keep);
    }

    /// What this process sees of the target.
    pub(super) fn gauge(&self) -> &Arc<TargetGauge> {
        &self.target.gauge
    }
}
