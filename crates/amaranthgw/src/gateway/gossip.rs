//! Gossip between gateways: each shares the operators' settings, changes of the registry and crashes of
//! targets, so that they also reach a gateway whose calls the store rejects. A gateway whose requests
//! wait asks peers for room in the same queries.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{ConfigVersion, StoreRevision, VmId};
use amaranthgw_fleet::gateway::{
    CallDigest, CallNews, HeldEvacuations, RegistryNews, ReportRefusal,
};
use amaranthgw_net::{PooledClient, read_whole};
use bytes::Bytes;
use futures_util::future::join_all;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use ractor::ActorRef;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

use super::control::ControlMessage;
use super::operators::{EvacuatedDomains, StoredConfig};
use super::peers::PeerRegistry;
use super::shared::GatewayShared;
use crate::runtime::accept_each;
use crate::telemetry::{EventLog, NodeEvent, count_demand};

/// Path of gossip queries.
const GOSSIP_PATH: &str = "/news";
/// Path at which a gateway is told that a peer, whose address is the body, has read the registry.
const REGISTRY_READ_PATH: &str = "/registry-read";
/// Interval between gossip rounds.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(400);
/// Number of peers queried per round.
const PEERS_PER_ROUND: usize = 2;
/// Number of peers queried per round while requests wait here.
const PEERS_PER_DEMAND: usize = 5;
/// Number of peers that are told at once of a crash; they tell others.
const PEERS_PER_ALARM: usize = 16;
/// Number of peers that are told of a read of the registry, so that they needn't read it.
const PEERS_PER_READ: usize = 64;
/// Age of what is known of the registry below which a peer's read of it is of no use.
const FRESH_AGE: Duration = Duration::from_millis(200);
/// Longest query of a peer: all crashes that a quarantine holds.
const MAX_QUERY_BYTES: usize = 256 * 1024;
/// Longest text of an address.
const MAX_ADDRESS_BYTES: usize = 64;
/// Time limit of a query to a peer.
pub(super) const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Query of a gateway, with its own address and what it knows.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct GossipQuery {
    pub(super) vm: VmId,
    pub(super) address: SocketAddr,
    pub(super) version: ConfigVersion,
    /// Revision up to which the gateway knows the registry of targets.
    #[serde(default)]
    pub(super) registry: StoreRevision,
    /// Digest of the crashes that the gateway knows.
    #[serde(default)]
    pub(super) quarantine: CallDigest,
    /// Crashes that the gateway has just learned of.
    #[serde(default)]
    pub(super) crashes: Option<CallNews>,
    /// A demand report, if requests wait at the gateway; decoded by itself, so that an unsound one
    /// doesn't hold up the rest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) demand: Option<Value>,
}

/// Reply with the peers and the operators' settings that a gateway knows.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct GossipReply {
    pub(super) vm: VmId,
    pub(super) peers: Vec<SocketAddr>,
    pub(super) evacuated: EvacuatedDomains,
    /// Evacuations that the gateway holds although it doesn't read them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) held: Option<HeldEvacuations>,
    /// Whether the gateway knows of a configuration that had workspaces.
    #[serde(default)]
    pub(super) requires_keys: bool,
    /// The configuration as stored, if newer than the version in the query.
    pub(super) config: Option<String>,
    /// Changes of the registry that the querying gateway doesn't know.
    #[serde(default)]
    pub(super) registry: Option<RegistryNews>,
    /// Crashes of targets, unless the querying gateway knows the same.
    #[serde(default)]
    pub(super) crashes: Option<CallNews>,
    /// Answer to the demand report of the query.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) demand: Option<Value>,
}

/// Queries peers until the process ends; tells more of them at once what is new in the quarantine.
pub(super) async fn follow_peers(link: GossipLink) {
    let mut changes = link.shared.quarantine_changes.subscribe();
    let mut news = None;
    loop {
        let clients = link.choose_peers(news.is_some());
        let queries = clients
            .iter()
            .map(|client| link.query_peer(client, news.clone()));
        join_all(queries).await;
        news = tokio::select! {
            () = sleep(GOSSIP_INTERVAL) => None,
            _changed = changes.changed() => link.all_crashes(),
        };
    }
}

/// What an exchange with a peer reads and changes.
#[derive(Clone, Debug)]
pub(super) struct GossipLink {
    /// Known peers.
    pub(super) peer_registry: Arc<PeerRegistry>,
    /// State shared with the traffic threads.
    pub(super) shared: Arc<GatewayShared>,
    /// Receives what peers tell.
    pub(super) control: ActorRef<ControlMessage>,
    /// Event log of the control thread.
    pub(super) log: EventLog,
}

impl GossipLink {
    /// Peers to query in a round; more of them if there is news of a crash, or if requests wait here.
    fn choose_peers(&self, has_news: bool) -> Vec<Arc<PooledClient>> {
        let now = Instant::now();
        if has_news {
            return self.peer_registry.choose_peers(PEERS_PER_ALARM, now);
        }
        if self.divides_room() && self.shared.demand.is_short_of_room(now) {
            return self.peer_registry.choose_unasked(PEERS_PER_DEMAND, now);
        }
        self.peer_registry.choose_peers(PEERS_PER_ROUND, now)
    }

    /// Whether gateways divide the room of services among themselves.
    fn divides_room(&self) -> bool {
        !self.shared.snapshot.load().demand_shares.is_empty()
    }

    /// The demand report of this gateway, if requests wait here.
    fn demand_report(&self) -> Option<Value> {
        let report = self
            .divides_room()
            .then(|| self.shared.demand.ask(Instant::now()));
        report
            .flatten()
            .and_then(|it| serde_json::to_value(it).ok())
    }

    /// Answers the demand report of `peer`.
    fn answer_demand(&self, peer: &VmId, report: Value) -> Option<Value> {
        if !self.divides_room() {
            return None;
        }
        let answer = decode(report)
            .and_then(|report| self.shared.demand.answer(peer, &report, Instant::now()));
        let answer = self.check_demand(peer, answer)?;
        serde_json::to_value(answer).ok()
    }

    /// Adopts the answer of `peer` to a demand report.
    fn adopt_demand(&self, peer: &VmId, answer: Value) {
        let adopted = decode(answer)
            .and_then(|answer| self.shared.demand.adopt(peer, &answer, Instant::now()));
        self.check_demand(peer, adopted);
    }

    /// Logs and counts what was refused.
    fn check_demand<T>(&self, peer: &VmId, checked: Result<T, ReportRefusal>) -> Option<T> {
        let outcome = checked.as_ref().err().map_or("applied", |it| it.name());
        count_demand(outcome);
        if checked.is_err() {
            self.log.record(NodeEvent::DemandRefused {
                vm: peer.clone(),
                reason: outcome,
            });
        }
        checked.ok()
    }

    /// All crashes of the quarantine; `None` if it has none.
    fn all_crashes(&self) -> Option<CallNews> {
        let none = CallDigest::default();
        self.shared.quarantine.news_for(none, Instant::now())
    }

    /// Adopts crashes that a peer told; news go on to more peers.
    fn adopt_crashes(&self, crashes: Option<CallNews>) {
        let adopt = |crashes| self.shared.quarantine.adopt(&crashes, Instant::now());
        if crashes.is_some_and(adopt) {
            self.shared.announce_quarantine();
        }
    }

    async fn query_peer(&self, client: &PooledClient, news: Option<CallNews>) {
        let (peer_registry, control) = (&self.peer_registry, &self.control);
        let query = peer_registry.query(&self.shared.quarantine, news, self.demand_report());
        let asked_at = Instant::now();
        let called = client
            .call(Method::POST, GOSSIP_PATH, query, PEER_CALL_TIMEOUT)
            .await;
        // A peer that doesn't reply is queried again in a later round. It is removed `PEER_TIMEOUT`
        // after its last contact, unless it is a seed or never made contact.
        let Ok(reply) = called else {
            return;
        };
        let Ok(gossip) = serde_json::from_slice::<GossipReply>(&reply.body) else {
            return;
        };
        self.adopt_crashes(gossip.crashes);
        if let Some(answer) = gossip.demand {
            self.adopt_demand(&gossip.vm, answer);
        }
        peer_registry.record_contact(client.address(), Instant::now());
        peer_registry.add_peers(gossip.peers);
        let mut messages = vec![
            ControlMessage::Peer(gossip.vm),
            ControlMessage::Evacuated(gossip.evacuated, "peer"),
        ];
        messages.extend(gossip.held.map(ControlMessage::EvacuationsHeld));
        if gossip.requires_keys {
            // Before the configuration, which may have no workspaces any more.
            messages.push(ControlMessage::KeysRequired);
        }
        // A peer shares only a configuration that it could decode.
        let config = gossip
            .config
            .map(|text| StoredConfig::new(text.into_bytes()));
        if let Some(Ok(config)) = config {
            messages.push(ControlMessage::Config(config, "peer"));
        }
        let registry = gossip.registry;
        messages.extend(registry.map(|news| ControlMessage::RegistryNews(news, asked_at)));
        for message in messages {
            // Fails only while the process stops.
            drop(control.cast(message));
        }
    }

    /// Tells peers that this gateway has read the registry; they ask for the changes.
    pub(super) async fn announce_read(&self) {
        let peer_registry = &self.peer_registry;
        let clients = peer_registry.choose_peers(PEERS_PER_READ, Instant::now());
        let body = Bytes::from(peer_registry.address().to_string());
        let calls = clients.iter().map(|client| {
            client.call(
                Method::POST,
                REGISTRY_READ_PATH,
                body.clone(),
                PEER_CALL_TIMEOUT,
            )
        });
        // A peer that isn't reached asks others, or reads the registry itself.
        drop(join_all(calls).await);
    }

    /// Asks a peer that has read the registry for its changes, unless they are known.
    async fn handle_read(&self, body: &[u8]) {
        let address = std::str::from_utf8(body).ok();
        let Some(address) = address.and_then(|text| text.parse().ok()) else {
            return;
        };
        let known_at = self.peer_registry.registry_known_at();
        if known_at.is_some_and(|at| at.elapsed() < FRESH_AGE) {
            return;
        }
        let client = self.peer_registry.client(address);
        self.query_peer(&client, None).await;
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() == REGISTRY_READ_PATH {
            if let Ok(body) = read_whole(request.into_body(), MAX_ADDRESS_BYTES).await {
                let link = self.clone();
                tokio::spawn(async move { link.handle_read(&body).await });
            }
            return Response::new(Full::default());
        }
        let is_gossip = request.uri().path() == GOSSIP_PATH;
        let body = read_whole(request.into_body(), MAX_QUERY_BYTES).await;
        let query = body
            .ok()
            .and_then(|body| serde_json::from_slice::<GossipQuery>(&body).ok());
        let Some(mut query) = query.filter(|_| is_gossip) else {
            let mut refused = Response::new(Full::default());
            *refused.status_mut() = StatusCode::BAD_REQUEST;
            return refused;
        };
        self.adopt_crashes(query.crashes.take());
        let peer_registry = &self.peer_registry;
        peer_registry.record_contact(query.address, Instant::now());
        let demand = query.demand.take();
        let demand = demand.and_then(|report| self.answer_demand(&query.vm, report));
        let reply = peer_registry.reply(&query, &self.shared.quarantine, demand);
        // Fails only while the process stops.
        drop(self.control.cast(ControlMessage::Peer(query.vm)));
        Response::new(Full::new(
            serde_json::to_vec(&reply).unwrap_or_default().into(),
        ))
    }
}

/// Decodes what a peer told of demand.
fn decode<T: DeserializeOwned>(value: Value) -> Result<T, ReportRefusal> {
    serde_json::from_value(value).map_err(|_error| ReportRefusal::Malformed)
}

/// Serves gossip queries until the process ends.
pub(super) async fn serve_peers(listener: TcpListener, link: GossipLink, log: EventLog) {
    let serve = |stream| serve_peer(stream, link.clone());
    accept_each(listener, log, serve).await;
}

async fn serve_peer(stream: TcpStream, link: GossipLink) {
    let service = service_fn(move |request| {
        let link = link.clone();
        async move { Ok::<_, Infallible>(link.respond(request).await) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // A broken connection needs no handling: the peer sees it.
    drop(connection.await);
}
