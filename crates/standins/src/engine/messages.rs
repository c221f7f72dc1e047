//! JSON messages of a model engine's calls.

use amaranthgw_core::{
    AttemptNumber, ChunkSequence, MilliSpan, RequestId, SlotCount, StartMark, TokenCount,
};
use serde::{Deserialize, Serialize};

const DEFAULT_MAX_TOKENS: u64 = 16;

/// Body of `POST /v1/generate`.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct GenerateBody {
    pub(super) request: RequestId,
    #[serde(default)]
    pub(super) attempt: AttemptNumber,
    pub(super) prompt: String,
    #[serde(default = "default_max_tokens")]
    pub(super) max_tokens: TokenCount,
    #[serde(default)]
    pub(super) priority: i32,
    #[serde(default)]
    pub(super) resume_from: ChunkSequence,
}

fn default_max_tokens() -> TokenCount {
    TokenCount::new(DEFAULT_MAX_TOKENS)
}

/// One line of a streamed answer.
#[derive(Debug, Serialize)]
#[serde(untagged)]
pub(super) enum StreamLine {
    Chunk {
        sequence: ChunkSequence,
        text: String,
    },
    End {
        end: StreamEnd,
    },
}

/// End marker in the last line of a complete answer.
#[derive(Debug, Serialize)]
pub(super) struct StreamEnd {
    pub(super) chunks: TokenCount,
}

/// Answer to `POST /v1/cancel/{request}`.
#[derive(Debug, Serialize)]
pub(super) struct CancelReply {
    pub(super) stopped: usize,
}

/// Load of the engine at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(super) struct LoadReport {
    pub(super) start_mark: StartMark,
    pub(super) in_flight: SlotCount,
    /// Those of the requests in flight that have no chunk yet.
    pub(super) queued: SlotCount,
    pub(super) prefixes: Vec<u64>,
}

/// Answer to `GET /v1/load`.
#[derive(Debug, Serialize)]
pub(super) struct LoadReply {
    #[serde(flatten)]
    pub(super) report: LoadReport,
    #[serde(rename = "age_ms", with = "crate::units::millis")]
    pub(super) age: MilliSpan,
}

/// Body of `POST /admin/engine`; omitted fields change nothing.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct EngineControl {
    pub(super) cold: bool,
    pub(super) fall_over: bool,
    pub(super) stall_ms: Option<u64>,
    pub(super) token_ms: Option<u64>,
    pub(super) honour_fencing: Option<bool>,
}
