//! Callers: send requests over connections that they keep, and check each answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use amaranthgw_net::{DialSettings, HttpConnection, dial};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use super::ledger::{CallKind, CallLedger, CallOutcome, CallRecord};
use super::site::{KEYS, SoakSite};

/// Time that a caller waits for an answer.
const DEADLINE: Duration = Duration::from_millis(2_500);
/// Pause of a caller between two requests, at most.
const PAUSE_MS: u64 = 40;
/// Part of requests that go over a kept connection, in percent.
const KEPT_PERCENT: u32 = 70;
/// Last event of a whole stream.
const LAST_EVENT: u32 = 20;

/// Running callers.
pub(super) struct SoakCallers {
    stops: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl SoakCallers {
    /// Lets every caller finish its request and waits for that.
    pub(super) async fn stop(self) {
        self.stops.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("a caller ends");
        }
    }
}

/// Starts the callers of all gateways.
pub(super) fn start_callers(site: &SoakSite, ledger: &Arc<CallLedger>, seed: u64) -> SoakCallers {
    let stops = Arc::new(AtomicBool::new(false));
    let mut tasks = Vec::new();
    for (gateway, (address, _process)) in site.gateways.iter().enumerate() {
        for number in 0..site.options.callers {
            let mark = u64::try_from(gateway * 100 + number).expect("a number");
            let caller = SoakCaller {
                address: *address,
                gateway,
                name: format!("c{gateway}-{number}"),
                random: fastrand::Rng::with_seed(seed.wrapping_mul(1_000).wrapping_add(mark)),
                ledger: Arc::clone(ledger),
                kept: None,
                sent: 0,
            };
            tasks.push(tokio::spawn(caller.run(Arc::clone(&stops))));
        }
    }
    SoakCallers { stops, tasks }
}

struct SoakCaller {
    address: SocketAddr,
    gateway: usize,
    name: String,
    random: fastrand::Rng,
    ledger: Arc<CallLedger>,
    kept: Option<HttpConnection>,
    sent: u32,
}

impl SoakCaller {
    async fn run(mut self, stops: Arc<AtomicBool>) {
        while !stops.load(Ordering::Relaxed) {
            self.call().await;
            let pause = Duration::from_millis(self.random.u64(1..PAUSE_MS));
            sleep(pause).await;
        }
    }

    async fn call(&mut self) {
        self.sent += 1;
        let kinds = [CallKind::Look, CallKind::Pay, CallKind::Draft];
        let record = CallRecord {
            id: format!("{}-{}", self.name, self.sent),
            kind: kinds[self.random.usize(..kinds.len())],
            key: usize::from(self.random.u32(..4) == 0),
            gateway: self.gateway,
            sent_at: Instant::now(),
        };
        self.ledger.begin(&record);
        let exchanged = timeout(DEADLINE + Duration::from_secs(1), self.exchange(&record)).await;
        let outcome = exchanged.unwrap_or(CallOutcome::Silent);
        self.ledger.end(&record, outcome);
    }

    async fn exchange(&mut self, record: &CallRecord) -> CallOutcome {
        let is_kept = self.random.u32(..100) < KEPT_PERCENT;
        let kept = self.kept.take().filter(|it| is_kept && it.is_ready());
        let mut connection = match kept {
            Some(kept) => kept,
            None => match dial(self.address, DialSettings::new(Duration::from_secs(1))).await {
                Ok(dialled) => dialled,
                Err(_refused) => return CallOutcome::Unconnected,
            },
        };
        let request = request_of(record);
        let Ok(response) = connection.send(request).await else {
            return CallOutcome::Broken;
        };
        let outcome = match (response.status(), record.kind) {
            (StatusCode::OK, CallKind::Draft) => self.read_stream(record, response).await,
            _ => self.read_whole(record, response).await,
        };
        if outcome == CallOutcome::Answered && connection.wait_ready().await {
            self.kept = Some(connection);
        }
        outcome
    }

    async fn read_whole(&self, record: &CallRecord, response: Response<Incoming>) -> CallOutcome {
        let (parts, body) = response.into_parts();
        let Ok(body) = body.collect().await else {
            return CallOutcome::Broken;
        };
        let header = |name: &str| parts.headers.get(name).and_then(|it| it.to_str().ok());
        let is_promise = [408, 421, 429, 503].contains(&parts.status.as_u16());
        if parts.status == StatusCode::OK {
            let is_own = header("x-amaranthgw-request-id") == Some(&record.id)
                && header("x-amaranthgw-server-stamp").is_some()
                && body.to_bytes() == body_of(record);
            if !is_own {
                self.ledger
                    .problem(format!("{}: foreign or partial answer", record.id));
            }
            return CallOutcome::Answered;
        }
        if is_promise && header("retry-after").is_none() {
            self.ledger.problem(format!(
                "{}: refused without a time to come back",
                record.id
            ));
        }
        if is_promise {
            return CallOutcome::Refused;
        }
        CallOutcome::Failed(parts.status.as_u16())
    }

    async fn read_stream(&self, record: &CallRecord, response: Response<Incoming>) -> CallOutcome {
        let mut body = response.into_body();
        let mut text = Vec::new();
        let mut is_broken = false;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => text.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
                Err(_cut) => {
                    is_broken = true;
                    break;
                }
            }
        }
        let text = String::from_utf8_lossy(&text);
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        let ids: Vec<u32> = ids.map(|id| id.parse().unwrap_or_default()).collect();
        let expected: Vec<u32> = (1..).take(ids.len()).collect();
        if ids != expected {
            self.ledger
                .problem(format!("{}: events {ids:?}", record.id));
        }
        if is_broken {
            return CallOutcome::Broken;
        }
        if ids.last() != Some(&LAST_EVENT) {
            self.ledger
                .problem(format!("{}: ends as whole after {ids:?}", record.id));
        }
        CallOutcome::Answered
    }
}

fn body_of(record: &CallRecord) -> Bytes {
    Bytes::from(format!("body of {}", record.id))
}

fn request_of(record: &CallRecord) -> Request<Full<Bytes>> {
    Request::post(format!("{}{}", record.kind.prefix(), record.id))
        .header("host", "site.example")
        .header("x-amaranthgw-request-id", &record.id)
        .header("x-amaranthgw-deadline-ms", DEADLINE.as_millis().to_string())
        .header("x-amaranthgw-tenant", "forged")
        .header("x-api-key", KEYS[record.key])
        .body(Full::new(body_of(record)))
        .expect("a request")
}
