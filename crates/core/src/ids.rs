//! Text identifiers of the entities.

use crate::macros::text_id;

/// Whether `text` may be an identifier of at most `max_len` bytes.
pub(crate) fn is_id_text(text: &str, max_len: usize) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-:/".contains(&byte);
    !text.is_empty() && text.len() <= max_len && text.bytes().all(is_allowed)
}

text_id!(
    /// A virtual machine.
    VmId,
    64
);
text_id!(
    /// A failure domain: a set of VMs that can fail or be taken out together.
    DomainId,
    64
);
text_id!(
    /// A region: a set of failure domains with short distances between them.
    RegionId,
    64
);
text_id!(
    /// A target: one model engine or plain service process that runs requests.
    TargetId,
    64
);
text_id!(
    /// A service that callers name in their requests.
    ServiceId,
    64
);
text_id!(
    /// A workspace: the part of a customer that limits and service levels apply to.
    WorkspaceId,
    64
);
text_id!(
    /// A caller within a workspace.
    CallerId,
    64
);
text_id!(
    /// A plan that workspaces subscribe to.
    PlanId,
    64
);
text_id!(
    /// An operator who changes the configuration.
    OperatorId,
    64
);
text_id!(
    /// A request as its caller names it.
    RequestId,
    128
);
text_id!(
    /// The key under which a caller may send one non-idempotent request several times.
    IdempotencyKey,
    128
);
text_id!(
    /// A rank group: the ranks that run in lock-step on one expert map.
    GroupId,
    64
);
text_id!(
    /// A model.
    ModelId,
    64
);
text_id!(
    /// An adapter of a model.
    AdapterId,
    64
);
text_id!(
    /// A route of the operators' configuration.
    RouteId,
    64
);
text_id!(
    /// The secret by which a caller shows its workspace.
    CallerKey,
    128
);
