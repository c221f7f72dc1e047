//! Tree of agents over which the calls of a coordinator reach a group.
//!
//! A caller splits the members into at most [`FANOUT`] branches and calls the first agent of each,
//! which does the same for the rest of its branch. The depth of the tree grows with the logarithm
//! of the ranks, and so do the bytes that the coordinator sends. Members follow each other by rank,
//! so that branches mostly stay within a failure domain.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use amaranthgw_core::MilliSpan;
use amaranthgw_net::{DialSettings, PooledClient};
use bytes::Bytes;
use futures_util::future::join_all;
use http::{Method, StatusCode};

use super::message::{GroupCall, RELAY_PATH, RelayReply, RelayRequest};
use super::{AgentError, Result};

/// Most agents that one agent calls for a request.
const FANOUT: usize = 8;
/// Time by which an agent lets its branches finish before its own caller gives up: a round trip
/// and the merging of the replies on a slow VM.
const HOP_MARGIN: Duration = Duration::from_millis(40);
/// Timeout of connecting to another agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of agents to which connections are kept; with more, all are closed.
const MAX_CLIENTS: usize = 512;

/// Client of the other agents of a group.
#[derive(Debug)]
pub(super) struct AgentRelay {
    /// Port at which all agents listen.
    port: u16,
    /// Clients by the address of the agent's rank.
    clients: Mutex<HashMap<SocketAddr, Arc<PooledClient>>>,
}

impl AgentRelay {
    /// Creates a relay to agents that listen at `port`.
    pub(super) fn new(port: u16) -> Self {
        Self {
            port,
            clients: Mutex::default(),
        }
    }

    /// Calls the agents of `members` within `time_limit`; those that don't answer are unavailable.
    pub(super) async fn spread(
        &self,
        call: &GroupCall,
        members: &[SocketAddr],
        time_limit: Duration,
    ) -> RelayReply {
        let branches = split(members);
        let calls = branches
            .iter()
            .map(|branch| self.call_branch(call, branch, time_limit));
        let mut merged = RelayReply::default();
        for (reply, branch) in join_all(calls).await.into_iter().zip(branches) {
            merged.merge(reply.unwrap_or_else(|_silent| RelayReply::unavailable(branch)));
        }
        merged
    }

    /// Passes a request on to its members, with a limit that lets the reply reach the caller.
    pub(super) async fn pass_on(&self, request: &RelayRequest) -> RelayReply {
        let time_limit = request.time_limit.duration().saturating_sub(HOP_MARGIN);
        self.spread(&request.call, &request.members, time_limit)
            .await
    }

    /// Calls the first member of `branch`, which calls the others.
    ///
    /// # Errors
    ///
    /// Returns an [`AgentError`] if the agent of the first member gives no usable reply.
    pub(super) async fn call_branch(
        &self,
        call: &GroupCall,
        branch: &[SocketAddr],
        time_limit: Duration,
    ) -> Result<RelayReply> {
        let Some((head, members)) = branch.split_first() else {
            return Ok(RelayReply::default());
        };
        let request = RelayRequest {
            call: call.clone(),
            members: members.to_vec(),
            time_limit: MilliSpan::new(u64::try_from(time_limit.as_millis()).unwrap_or(u64::MAX)),
        };
        self.request(*head, &request, time_limit).await
    }

    async fn request(
        &self,
        member: SocketAddr,
        request: &RelayRequest,
        time_limit: Duration,
    ) -> Result<RelayReply> {
        let body = Bytes::from(postcard::to_allocvec(request)?);
        let client = self.client(member);
        let called = client.call(Method::POST, RELAY_PATH, body, time_limit);
        let reply = called.await?;
        if reply.status != StatusCode::OK {
            return Err(AgentError::RankUnavailable);
        }
        Ok(postcard::from_bytes(&reply.body)?)
    }

    fn client(&self, member: SocketAddr) -> Arc<PooledClient> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if clients.len() >= MAX_CLIENTS && !clients.contains_key(&member) {
            clients.clear();
        }
        let make = || {
            let agent = SocketAddr::new(member.ip(), self.port);
            // What was given up must not stay queued on the link.
            let settings = DialSettings::new(CONNECT_TIMEOUT).with_reset_on_close();
            Arc::new(PooledClient::new(agent, settings))
        };
        Arc::clone(clients.entry(member).or_insert_with(make))
    }
}

/// Splits `members` into at most [`FANOUT`] branches of about the same size.
pub(super) fn split<T>(members: &[T]) -> Vec<&[T]> {
    let size = members.len().div_ceil(FANOUT).max(1);
    members.chunks(size).collect()
}
