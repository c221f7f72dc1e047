//! Gateways tell each other what operators wrote, so that one that the store turns away learns it.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthgw_core::{ConfigVersion, VmId};
use amaranthgw_fleet::gateway::PEER_TIMEOUT;
use amaranthgw_net::{DialSettings, PooledClient};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use ractor::ActorRef;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

use super::control::ControlMessage;
use super::feeds::{EvacuatedDomains, FollowedConfig};
use crate::runtime::accept_each;
use crate::telemetry::EventLog;

/// Path at which a gateway tells its peers.
const NEWS_PATH: &str = "/news";
/// Pause between two rounds of questions.
const ROUND_PAUSE: Duration = Duration::from_millis(400);
/// Peers that are asked in one round.
const ROUND_PEERS: usize = 2;
/// Longest wait for a peer.
const PEER_LIMIT: Duration = Duration::from_millis(250);

/// What one gateway asks another.
#[derive(Debug, Serialize, Deserialize)]
struct NewsAsk {
    vm: VmId,
    address: SocketAddr,
    version: ConfigVersion,
}

/// What one gateway tells another.
#[derive(Debug, Serialize, Deserialize)]
struct PeerNews {
    vm: VmId,
    peers: Vec<SocketAddr>,
    evacuated: EvacuatedDomains,
    /// The configuration as it stands in the store, where it is newer than the one asked with.
    config: Option<String>,
}

/// A peer.
#[derive(Debug)]
struct PeerRow {
    client: Arc<PooledClient>,
    heard_at: Option<Instant>,
}

#[derive(Debug)]
struct PeerTables {
    version: ConfigVersion,
    config: Vec<u8>,
    evacuated: EvacuatedDomains,
    peers: HashMap<SocketAddr, PeerRow>,
}

impl PeerTables {
    fn row(&mut self, address: SocketAddr) -> &mut PeerRow {
        self.peers.entry(address).or_insert_with(|| PeerRow {
            client: Arc::new(PooledClient::new(address, DialSettings::new(PEER_LIMIT))),
            heard_at: None,
        })
    }
}

/// What a gateway can tell its peers, and its peers.
#[derive(Debug)]
pub(super) struct PeerDesk {
    vm: VmId,
    address: SocketAddr,
    seeds: Vec<SocketAddr>,
    tables: Mutex<PeerTables>,
}

impl PeerDesk {
    /// Creates the desk of the gateway `vm`, which its peers reach at `address`.
    pub(super) fn new(vm: VmId, address: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        Self {
            vm,
            address,
            seeds,
            tables: Mutex::new(PeerTables {
                version: ConfigVersion::default(),
                config: Vec::new(),
                evacuated: EvacuatedDomains::default(),
                peers: HashMap::new(),
            }),
        }
    }

    /// Remembers the configuration that came into force.
    pub(super) fn keep_config(&self, config: &FollowedConfig) {
        let mut tables = self.tables();
        tables.version = config.routes.version;
        tables.config.clone_from(&config.value);
    }

    /// Remembers the failure domains that are out.
    pub(super) fn keep_evacuated(&self, evacuated: &EvacuatedDomains) {
        self.tables().evacuated.clone_from(evacuated);
    }

    fn tables(&self) -> MutexGuard<'_, PeerTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn hear(&self, address: SocketAddr, now: Instant) {
        if address != self.address {
            self.tables().row(address).heard_at = Some(now);
        }
    }

    fn learn(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let mut tables = self.tables();
        for address in addresses
            .into_iter()
            .filter(|address| *address != self.address)
        {
            tables.row(address);
        }
    }

    /// Peers to ask in this round: some at random.
    fn round(&self, now: Instant) -> Vec<Arc<PooledClient>> {
        self.learn(self.seeds.iter().copied());
        let mut tables = self.tables();
        let is_seed = |address: &SocketAddr| self.seeds.contains(address);
        tables.peers.retain(|address, row| {
            let is_alive = |at: Instant| now.saturating_duration_since(at) < PEER_TIMEOUT;
            is_seed(address) || row.heard_at.is_none_or(is_alive)
        });
        let mut clients: Vec<_> = tables
            .peers
            .values()
            .map(|row| Arc::clone(&row.client))
            .collect();
        drop(tables);
        fastrand::shuffle(&mut clients);
        clients.truncate(ROUND_PEERS);
        clients
    }

    fn ask(&self) -> Bytes {
        let ask = NewsAsk {
            vm: self.vm.clone(),
            address: self.address,
            version: self.tables().version,
        };
        serde_json::to_vec(&ask).unwrap_or_default().into()
    }

    fn news(&self, ask: &NewsAsk) -> PeerNews {
        let tables = self.tables();
        PeerNews {
            vm: self.vm.clone(),
            peers: tables.peers.keys().copied().collect(),
            evacuated: tables.evacuated.clone(),
            config: (tables.version > ask.version)
                .then(|| String::from_utf8_lossy(&tables.config).into_owned()),
        }
    }
}

/// Asks peers, for as long as the process runs.
pub(super) async fn follow_peers(desk: Arc<PeerDesk>, control: ActorRef<ControlMessage>) {
    loop {
        for client in desk.round(Instant::now()) {
            ask_peer(&desk, &client, &control).await;
        }
        sleep(ROUND_PAUSE).await;
    }
}

async fn ask_peer(desk: &PeerDesk, client: &PooledClient, control: &ActorRef<ControlMessage>) {
    let asked = client
        .call(Method::POST, NEWS_PATH, desk.ask(), PEER_LIMIT)
        .await;
    // A peer that does not answer is asked again in a later round, or forgotten.
    let Ok(reply) = asked else {
        return;
    };
    let Ok(news) = serde_json::from_slice::<PeerNews>(&reply.body) else {
        return;
    };
    desk.hear(client.address(), Instant::now());
    desk.learn(news.peers);
    let mut messages = vec![
        ControlMessage::Peer(news.vm),
        ControlMessage::Evacuated(news.evacuated, "peer"),
    ];
    // A peer keeps the text of a configuration that it could read itself.
    let config = news
        .config
        .map(|text| FollowedConfig::new(text.into_bytes()));
    if let Some(Ok(config)) = config {
        messages.push(ControlMessage::Config(config, "peer"));
    }
    for message in messages {
        // A stopping process needs no news.
        drop(control.cast(message));
    }
}

/// Answers peers, for as long as the process runs.
pub(super) async fn serve_peers(
    listener: TcpListener,
    desk: Arc<PeerDesk>,
    control: ActorRef<ControlMessage>,
    log: EventLog,
) {
    let serve = |stream| serve_one(stream, Arc::clone(&desk), control.clone());
    accept_each(listener, log, serve).await;
}

async fn serve_one(stream: TcpStream, desk: Arc<PeerDesk>, control: ActorRef<ControlMessage>) {
    let service = service_fn(move |request| {
        let (desk, control) = (Arc::clone(&desk), control.clone());
        async move { Ok::<_, Infallible>(answer(&desk, &control, request).await) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // The peer sees how its connection ended.
    drop(connection.await);
}

async fn answer(
    desk: &PeerDesk,
    control: &ActorRef<ControlMessage>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    use http_body_util::BodyExt;
    let is_news = request.uri().path() == NEWS_PATH;
    let body = request.into_body().collect().await;
    let ask = body
        .ok()
        .and_then(|body| serde_json::from_slice::<NewsAsk>(&body.to_bytes()).ok());
    let Some(ask) = ask.filter(|_| is_news) else {
        let mut refused = Response::new(Full::default());
        *refused.status_mut() = StatusCode::BAD_REQUEST;
        return refused;
    };
    desk.hear(ask.address, Instant::now());
    let news = desk.news(&ask);
    // A stopping process needs no news.
    drop(control.cast(ControlMessage::Peer(ask.vm)));
    Response::new(Full::new(
        serde_json::to_vec(&news).unwrap_or_default().into(),
    ))
}
