//! Target server of the platform: answers requests, streams events and injects faults.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use futures_util::StreamExt;
use futures_util::stream::unfold;
use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, StatusCode};
use hyper::body::Frame;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use crate::error::Result;
use crate::http::{
    BrokenStream, Call, CallHandler, ConnectionCloser, NoAnswer, Reply, ReplyFuture, ReplyResult,
    bind, bytes_reply, empty_reply, serve, stream_reply,
};
use crate::lock::lock;
use crate::reserved::ReservedPort;
use crate::running::{RunningStandin, Standin};

/// How a target answers requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetBehaviour {
    /// Echoes the request's body with the given status.
    Answer(u16),
    /// Streams events with consecutive identifiers, resuming after the header `last-event-id`.
    Stream {
        /// Identifier of the last event.
        events: u32,
        /// Delay before each event.
        gap: Duration,
        /// Identifier of the event that is cut in half by closing the connection, also in a stream
        /// resumed before it; 0 for none.
        breaks_in: u32,
    },
    /// Streams events with consecutive identifiers, then stalls with the connection open.
    Stall {
        /// Identifier of the last event.
        events: u32,
    },
    /// Rejects the request with status 503, marked as not executed.
    Refuse,
    /// Runs the request, then closes the connection without an answer.
    CloseAfterRun,
    /// Runs the request, then closes the connection within the answer's body.
    BreakBody,
    /// Runs the request, then answers with the identifier of another request.
    WrongRequestId,
    /// Runs the request, then keeps the connection open without an answer.
    Hang,
}

/// A pause of the streams on one path, as of requests that a server preempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamPause {
    /// Path and query of the requests.
    pub path: CompactString,
    /// Identifier of the event before which the stream pauses.
    pub event: u32,
    /// Length of the pause.
    pub time: Duration,
}

/// A request that a target ran.
#[derive(Clone, Debug)]
pub struct SiteRun {
    /// Method and path with query.
    pub line: CompactString,
    /// Request headers as received.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// When the request arrived.
    pub arrived_at: Instant,
}

impl SiteRun {
    /// The header `name`; `None` if absent or not visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A request that arrived at a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SiteArrival {
    /// The request's id; empty if it had none.
    pub request: CompactString,
    /// When it arrived.
    pub at: Instant,
}

#[derive(Debug)]
struct TargetWorld {
    behaviour: TargetBehaviour,
    /// Headers that are added to every answer.
    extra_headers: Vec<(&'static str, CompactString)>,
    runs: Vec<SiteRun>,
    /// Requests that arrived, including those that were rejected.
    arrivals: Vec<SiteArrival>,
    /// Part of a prompt on which the target crashes; empty for none.
    deadly_part: CompactString,
    /// Path and query of requests on which the target crashes; empty for none.
    deadly_path: CompactString,
    /// Time after which it crashes on such a request while it answers; `None` if it doesn't answer.
    deadly_after: Option<Duration>,
    /// Pause of streams, if any.
    pause: Option<StreamPause>,
    /// Path and query of requests whose answers begin late, and by how much.
    late_head: Option<(CompactString, Duration)>,
    /// Number of crashes.
    crashes: usize,
    /// Requests on which the target crashed.
    deadly_runs: Vec<SiteRun>,
}

/// Time for which a target that crashed is down.
const CRASH_TIME: Duration = Duration::from_millis(300);
/// Time after the head of an answer at which the target crashes on a deadly part.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// Stand-in for a target server of the platform.
#[derive(Clone, Debug)]
pub struct SiteTarget {
    id: CompactString,
    world: Arc<Mutex<TargetWorld>>,
    /// Tells the server to close its connections and to be down for `CRASH_TIME`.
    crash: Arc<Notify>,
}

impl SiteTarget {
    /// Creates the target `id`.
    #[must_use]
    pub fn new(id: &str, behaviour: TargetBehaviour) -> Self {
        let world = TargetWorld {
            behaviour,
            extra_headers: Vec::new(),
            runs: Vec::new(),
            arrivals: Vec::new(),
            deadly_part: CompactString::default(),
            deadly_path: CompactString::default(),
            deadly_after: None,
            pause: None,
            late_head: None,
            crashes: 0,
            deadly_runs: Vec::new(),
        };
        Self {
            id: id.into(),
            world: Arc::new(Mutex::new(world)),
            crash: Arc::new(Notify::new()),
        }
    }

    /// Changes how later requests are answered.
    pub fn set_behaviour(&self, behaviour: TargetBehaviour) {
        lock(&self.world).behaviour = behaviour;
    }

    /// Sets the headers that are added to every later answer.
    pub fn set_extra_headers(&self, headers: &[(&'static str, &str)]) {
        let headers = headers.iter().map(|(name, value)| (*name, (*value).into()));
        lock(&self.world).extra_headers = headers.collect();
    }

    /// Sets the part of a prompt on which the target crashes when it begins to write; empty for none.
    pub fn set_deadly_part(&self, part: &str) {
        lock(&self.world).deadly_part = part.into();
    }

    /// Sets the path and query of requests on which the target crashes without an answer; empty for
    /// none.
    pub fn set_deadly_path(&self, path: &str) {
        lock(&self.world).deadly_path = path.into();
    }

    /// Lets the target answer requests on the deadly path and crash `time` after their arrival.
    pub fn set_deadly_after(&self, time: Duration) {
        lock(&self.world).deadly_after = Some(time);
    }

    /// Sets a pause of later streams.
    pub fn set_pause(&self, pause: StreamPause) {
        lock(&self.world).pause = Some(pause);
    }

    /// Makes answers to later requests on `path` (with query) begin after `time`, as of queued requests.
    pub fn set_late_head(&self, path: &str, time: Duration) {
        lock(&self.world).late_head = Some((path.into(), time));
    }

    /// Time after which the head of an answer to the request `line` is sent.
    fn head_delay(&self, line: &str) -> Duration {
        let world = lock(&self.world);
        let path = line.split_once(' ').map_or("", |(_method, path)| path);
        let late = world.late_head.as_ref().filter(|(late, _)| late == path);
        late.map_or(Duration::ZERO, |(_, time)| *time)
    }

    /// The event before which a stream with the request `line` pauses, and for how long.
    fn pause_of(&self, line: &str) -> Option<(u32, Duration)> {
        let world = lock(&self.world);
        let path = line.split_once(' ').map_or("", |(_method, path)| path);
        let pause = world.pause.as_ref().filter(|pause| pause.path == path);
        pause.map(|pause| (pause.event, pause.time))
    }

    /// Number of crashes so far.
    #[must_use]
    pub fn crashes(&self) -> usize {
        lock(&self.world).crashes
    }

    /// The requests on which the target crashed.
    #[must_use]
    pub fn deadly_runs(&self) -> Vec<SiteRun> {
        lock(&self.world).deadly_runs.clone()
    }

    /// Crashes the target as if by another cause.
    pub fn crash(&self) {
        lock(&self.world).crashes += 1;
        self.crash.notify_one();
    }

    fn is_deadly(&self, run: &SiteRun) -> bool {
        let world = lock(&self.world);
        let parts = run.header("x-amaranthgw-prefix-hash").unwrap_or_default();
        let mut parts = parts.split(',').filter_map(|part| part.split_once(':'));
        !world.deadly_part.is_empty() && parts.any(|(part, _)| *part == *world.deadly_part)
    }

    fn has_deadly_path(&self, line: &str) -> bool {
        let world = lock(&self.world);
        let path = line.split_once(' ').map_or("", |(_method, path)| path);
        !world.deadly_path.is_empty() && path == world.deadly_path
    }

    /// Whether the request `line` gets no answer, as the target crashes on it.
    fn is_unanswered(&self, line: &str) -> bool {
        self.has_deadly_path(line) && lock(&self.world).deadly_after.is_none()
    }

    /// Serves until the target crashes.
    async fn serve_until_crash(&self, listener: TcpListener) {
        let handler = Arc::new(SiteTargetHandler {
            target: self.clone(),
        });
        tokio::select! {
            () = serve(listener, handler, ConnectionCloser::new()) => {}
            () = self.crash.notified() => {}
        }
    }

    /// The requests that the target ran, in order of arrival.
    #[must_use]
    pub fn runs(&self) -> Vec<SiteRun> {
        lock(&self.world).runs.clone()
    }

    /// Number of requests that arrived, including those that were rejected.
    #[must_use]
    pub fn arrivals(&self) -> usize {
        lock(&self.world).arrivals.len()
    }

    /// The requests that arrived, including those that were rejected.
    #[must_use]
    pub fn arrival_log(&self) -> Vec<SiteArrival> {
        lock(&self.world).arrivals.clone()
    }

    /// The target's entry in the platform's registry.
    #[must_use]
    pub fn entry(&self, service: &str, address: SocketAddr, domain: &str) -> Value {
        json!({
            "service": service,
            "address": address.to_string(),
            "zone": domain,
            "version": "v1",
            "slots": 12,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
        })
    }

    fn answer(&self, call: &Call) -> ReplyResult {
        let run = SiteRun {
            line: call.request_line(),
            headers: call.headers().clone(),
            body: call.body.clone(),
            arrived_at: Instant::now(),
        };
        let request = run.header("x-amaranthgw-request-id").unwrap_or_default();
        let request = CompactString::from(request);
        let at = run.arrived_at;
        let arrival = SiteArrival {
            request: request.clone(),
            at,
        };
        lock(&self.world).arrivals.push(arrival);
        let rejection = |status| {
            let reply = empty_reply(status);
            with_header(reply, "x-amaranthgw-request-id", &request)
        };
        let expected = run.header("x-amaranthgw-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return Ok(rejection(StatusCode::MISDIRECTED_REQUEST));
        }
        let behaviour = lock(&self.world).behaviour.clone();
        if behaviour == TargetBehaviour::Refuse {
            let rejection = rejection(StatusCode::SERVICE_UNAVAILABLE);
            return Ok(with_header(rejection, "x-amaranthgw-not-executed", "1"));
        }
        let last_event = run.header("last-event-id").and_then(|id| id.parse().ok());
        let body = run.body.clone();
        let answers_deadly = lock(&self.world).deadly_after.is_some();
        if self.begin_run(run) && !answers_deadly {
            return Ok(self.with_server_headers(stalled_stream_reply(0, 0), &request));
        }
        let answer = match behaviour {
            TargetBehaviour::Answer(status) => {
                bytes_reply(StatusCode::from_u16(status).unwrap_or(StatusCode::OK), body)
            }
            TargetBehaviour::Stream {
                events,
                gap,
                breaks_in,
            } => {
                let pause = self.pause_of(&call.request_line());
                event_stream_reply(last_event.unwrap_or(0), events, gap, breaks_in, pause)
            }
            TargetBehaviour::Stall { events } => {
                stalled_stream_reply(last_event.unwrap_or(0), events)
            }
            TargetBehaviour::BreakBody => cut_body_reply(),
            TargetBehaviour::WrongRequestId => {
                return Ok(self.with_server_headers(bytes_reply(StatusCode::OK, body), "other"));
            }
            TargetBehaviour::Hang | TargetBehaviour::CloseAfterRun | TargetBehaviour::Refuse => {
                return Err(NoAnswer);
            }
        };
        Ok(self.with_server_headers(answer, &request))
    }

    /// Records `run`; returns whether the target crashes on it, and crashes it soon if so.
    fn begin_run(&self, run: SiteRun) -> bool {
        let is_deadly = self.is_deadly(&run) || self.has_deadly_path(&run.line);
        let mut world = lock(&self.world);
        if is_deadly {
            world.deadly_runs.push(run.clone());
        }
        world.runs.push(run);
        let delay = world.deadly_after.unwrap_or(CRASH_DELAY);
        drop(world);
        if is_deadly {
            let target = self.clone();
            tokio::spawn(async move {
                sleep(delay).await;
                target.crash();
            });
        }
        is_deadly
    }

    /// Adds the headers that identify the request and the server and report its load.
    fn with_server_headers(&self, reply: Reply, request: &str) -> Reply {
        let stamp = format_compact!("stamp.{}", self.id);
        let reply = with_header(reply, "x-amaranthgw-server-stamp", &stamp);
        let reply = with_header(reply, "x-amaranthgw-server-load", "1,0,12");
        with_header(reply, "x-amaranthgw-request-id", request)
    }
}

impl Standin for SiteTarget {
    fn start(&self, listen: SocketAddr) -> Result<RunningStandin> {
        // Another server must not get the port while the target is down, with requests for this one.
        let reserved = if listen.port() == 0 {
            Some(ReservedPort::new(&[listen.ip()])?)
        } else {
            None
        };
        let listen = reserved
            .as_ref()
            .map_or(listen, |port| port.address(listen.ip()));
        let (listener, address) = bind(listen)?;
        let target = self.clone();
        let running = RunningStandin::new().with_address(address);
        Ok(running.with_task(async move {
            let _reserved = reserved;
            let mut listener = Some(listener);
            loop {
                if let Some(listener) = listener.take() {
                    target.serve_until_crash(listener).await;
                }
                sleep(CRASH_TIME).await;
                listener = bind(address).ok().map(|(listener, _)| listener);
            }
        }))
    }
}

#[derive(Debug)]
struct SiteTargetHandler {
    target: SiteTarget,
}

impl CallHandler for SiteTargetHandler {
    fn handle(self: Arc<Self>, call: Call) -> ReplyFuture {
        Box::pin(async move {
            let is_hanging = lock(&self.target.world).behaviour == TargetBehaviour::Hang
                || self.target.is_unanswered(&call.request_line());
            let answer = self.target.answer(&call);
            sleep(self.target.head_delay(&call.request_line())).await;
            if is_hanging {
                std::future::pending::<()>().await;
            }
            let extra = lock(&self.target.world).extra_headers.clone();
            answer.map(|mut reply| {
                for (name, value) in extra {
                    reply = with_header(reply, name, &value);
                }
                reply
            })
        })
    }
}

fn with_header(mut reply: Reply, name: &'static str, value: &str) -> Reply {
    if let Ok(value) = HeaderValue::from_str(value) {
        reply
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
    reply
}

fn event_stream_reply(
    after: u32,
    events: u32,
    gap: Duration,
    breaks_in: u32,
    pause: Option<(u32, Duration)>,
) -> Reply {
    let parts = unfold(after + 1, move |event| async move {
        if event > events {
            return None;
        }
        sleep(gap).await;
        if let Some((_, time)) = pause.filter(|(paused, _)| *paused == event) {
            sleep(time).await;
        }
        let text = format!("id: {event}\ndata: event {event}\n\n");
        let is_cut = event == breaks_in;
        let length = if is_cut { text.len() / 2 } else { text.len() };
        let part = Bytes::copy_from_slice(&text.as_bytes()[..length]);
        let next = if is_cut { u32::MAX } else { event + 1 };
        Some((Ok(Frame::data(part)), next))
    });
    let cut = (breaks_in > after).then_some(Err(BrokenStream));
    let parts = parts.chain(futures_util::stream::iter(cut));
    stream_reply("text/event-stream", parts)
}

fn stalled_stream_reply(after: u32, events: u32) -> Reply {
    let sent = (after + 1..=events).map(|event| {
        let text = format!("id: {event}\ndata: event {event}\n\n");
        Ok(Frame::data(Bytes::from(text)))
    });
    let parts = futures_util::stream::iter(sent).chain(futures_util::stream::pending());
    stream_reply("text/event-stream", parts)
}

fn cut_body_reply() -> Reply {
    let half = Frame::data(Bytes::from_static(b"half"));
    let parts = [Ok(half), Err(BrokenStream)];
    stream_reply(
        "application/octet-stream",
        futures_util::stream::iter(parts),
    )
}
