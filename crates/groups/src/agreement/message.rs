//! Messages between the sidecars of a group and the effects of a state machine.

use amaranthgw_core::{
    FencingNumber, GroupGeneration, MapVersion, RankId, StartMark, StepNumber, StoreRevision,
};
use serde::{Deserialize, Serialize};

use super::{MapOrder, MapProposal, MapRecord, RankReport};

/// What the opener of a generation tells about older generations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpeningTerms {
    /// Mark of the opener's process.
    pub start: StartMark,
    /// Highest version that any rank accepted or refused.
    pub floor: MapVersion,
    /// Last step for which a switch order of an older generation may still be under way.
    pub settle: StepNumber,
}

/// Asks a rank to promise a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrepareRequest {
    /// The proposal.
    pub proposal: MapProposal,
    /// Fencing number of the proposer's lease; 0 for an opening, which needs no lease.
    pub fencing: FencingNumber,
    /// Terms of the generation; only with an opening.
    pub terms: Option<OpeningTerms>,
}

/// A message from one sidecar of a group to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupMessage {
    /// Coordinator: load the weights of a version; binds the rank to nothing.
    Propose {
        /// Generation of the coordinator.
        generation: GroupGeneration,
        /// Version to load.
        version: MapVersion,
    },
    /// Answer to `Propose` once the weights are loaded.
    Loaded {
        /// Generation of the rank.
        generation: GroupGeneration,
        /// Loaded version.
        version: MapVersion,
        /// Step that the rank's engine begins next.
        step: StepNumber,
    },
    /// Coordinator or opener: hold the step and promise.
    Prepare(PrepareRequest),
    /// The sender's engine holds the step of the proposal.
    Promise(MapProposal),
    /// The sender will never promise the proposal.
    Refuse(MapProposal),
    /// Every rank promised the proposal.
    Commit(MapProposal),
    /// Some rank refused the proposal.
    Abort(MapProposal),
    /// Asks for the sender's knowledge of a proposal; a rank that has not accepted it refuses it.
    Query(MapProposal),
    /// The sender does not remember whether it promised the proposal.
    Unknown(MapProposal),
    /// Asks a rank to join a generation that the sender opens.
    Open {
        /// The generation.
        generation: GroupGeneration,
        /// Mark of the sender's process.
        start: StartMark,
    },
    /// The sender has joined the generation and its engine holds.
    Report {
        /// The generation.
        generation: GroupGeneration,
        /// Mark of the opener's process.
        start: StartMark,
        /// What the rank knows.
        report: RankReport,
    },
    /// The sender has joined this newer generation.
    Superseded {
        /// Newest generation of the sender.
        generation: GroupGeneration,
    },
}

/// What a state machine asks its process to do.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupEffect {
    /// Send a message; `to` may be the own rank.
    Send {
        /// Receiver.
        to: RankId,
        /// The message.
        message: GroupMessage,
    },
    /// Load the own share of a map version, unless that is under way.
    LoadMap(MapVersion),
    /// Order the own engine, with the generation as fencing number.
    Order {
        /// The order.
        order: MapOrder,
        /// Number below which the engine refuses orders.
        fencing: FencingNumber,
        /// Engine process that the order is for; no other may get it.
        start: StartMark,
    },
    /// Read the own engine and pass its view to [`super::RankMember::observe`].
    ReadEngine,
    /// Read the group's map record.
    ReadStore,
    /// Write the group's map record by compare-and-swap.
    WriteStore {
        /// Revision that the record must have; 0 for none.
        expected: StoreRevision,
        /// New record.
        record: MapRecord,
    },
}
