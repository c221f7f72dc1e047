//! Messages between the sidecars of a group, and the effects that the state machines request.

use amaranthgw_core::{
    FencingNumber, GroupGeneration, MapVersion, RankId, StartMark, StepNumber, StoreRevision,
};
use serde::{Deserialize, Serialize};

use super::{MapOrder, MapProposal, MapRecord, RankReport};

/// State carried over from older generations, sent with the opening proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpeningTerms {
    /// Start mark of the opener's process.
    pub start: StartMark,
    /// Highest version that any rank accepted or refused; new versions must be higher.
    pub floor: MapVersion,
    /// Last step for which a switch order of an older generation may still arrive at an engine.
    pub settle: StepNumber,
}

/// Request to a rank to promise a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrepareRequest {
    /// Proposal to promise.
    pub proposal: MapProposal,
    /// Fencing token of the proposer's lease; 0 for an opening, which needs no lease.
    pub fencing: FencingNumber,
    /// State of older generations; `None` unless the proposal is an opening.
    pub terms: Option<OpeningTerms>,
}

/// A message from one sidecar of a group to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupMessage {
    /// From the coordinator: load the weights of a version. It does not bind the rank.
    Propose {
        /// Generation of the coordinator.
        generation: GroupGeneration,
        /// Version to load.
        version: MapVersion,
    },
    /// Response to `Propose` once the weights are loaded.
    Loaded {
        /// Generation of the rank.
        generation: GroupGeneration,
        /// Version whose weights are loaded.
        version: MapVersion,
        /// Next step of the rank's engine.
        step: StepNumber,
    },
    /// From the coordinator or opener: hold the proposal's step and promise the proposal.
    Prepare(PrepareRequest),
    /// The sender's engine holds the step of the proposal.
    Promise(MapProposal),
    /// The sender will not promise the proposal, now or later.
    Refuse(MapProposal),
    /// Every rank promised the proposal; it is committed.
    Commit(MapProposal),
    /// At least one rank refused the proposal; it is aborted.
    Abort(MapProposal),
    /// Asks the receiver for the outcome of a proposal. A receiver in the same generation refuses
    /// the proposal unless it is recovering, or has accepted this proposal or committed a newer
    /// one.
    Query(MapProposal),
    /// The sender is recovering and does not know whether it promised the proposal.
    Unknown(MapProposal),
    /// Asks the receiver to join a generation that the sender opens.
    Open {
        /// Generation to join.
        generation: GroupGeneration,
        /// Start mark of the sender's process.
        start: StartMark,
    },
    /// The sender has joined the generation and its engine is held.
    Report {
        /// Generation that the sender joined.
        generation: GroupGeneration,
        /// Start mark of the opener's process.
        start: StartMark,
        /// State of the sender.
        report: RankReport,
    },
    /// Rejects a message of an older generation, or of another opener of the same generation.
    Superseded {
        /// Generation that the sender has joined.
        generation: GroupGeneration,
    },
}

/// Side effect that a state machine requests from its process.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupEffect {
    /// Send a message; `to` may be the local rank.
    Send {
        /// Receiving rank.
        to: RankId,
        /// Message to send.
        message: GroupMessage,
    },
    /// Load the weights of the local rank for a map version, unless they are loading already.
    LoadMap(MapVersion),
    /// Send an order to the local engine, with the generation as fencing token.
    Order {
        /// Order to send.
        order: MapOrder,
        /// Fencing token; the engine refuses later orders with a lower one.
        fencing: FencingNumber,
        /// Start mark of the engine process; the order must not reach another process.
        start: StartMark,
    },
    /// Read the state of the local engine and pass it to [`super::RankMember::observe`].
    ReadEngine,
    /// Read the group's map record.
    ReadStore,
    /// Write the group's map record by compare-and-swap.
    WriteStore {
        /// Expected revision of the record; 0 if it must not exist.
        expected: StoreRevision,
        /// Record to write.
        record: MapRecord,
    },
}
