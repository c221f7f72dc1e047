//! Text identifiers of entities.

use crate::macros::text_id;

/// Whether `text` is a valid identifier of at most `max_len` bytes.
pub(crate) fn is_id_text(text: &str, max_len: usize) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-:/".contains(&byte);
    !text.is_empty() && text.len() <= max_len && text.bytes().all(is_allowed)
}

text_id!(
    /// Identifies a virtual machine.
    VmId,
    64
);
text_id!(
    /// Identifies a failure domain: VMs that can fail or be taken out of service together.
    DomainId,
    64
);
text_id!(
    /// Identifies a region: failure domains with low latency between them.
    RegionId,
    64
);
text_id!(
    /// Identifies a target: a process of a model engine or plain service that runs requests.
    TargetId,
    64
);
text_id!(
    /// Identifies a service, which callers name in their requests.
    ServiceId,
    64
);
text_id!(
    /// Identifies a workspace: the part of a customer that limits and service levels apply to.
    WorkspaceId,
    64
);
text_id!(
    /// Identifies a caller within a workspace.
    CallerId,
    64
);
text_id!(
    /// Identifies a plan, to which workspaces subscribe.
    PlanId,
    64
);
text_id!(
    /// Identifies an operator who changes the configuration.
    OperatorId,
    64
);
text_id!(
    /// Identifies a request; assigned by its caller.
    RequestId,
    128
);
text_id!(
    /// Key that lets a caller repeat a non-idempotent request without running it twice.
    IdempotencyKey,
    128
);
text_id!(
    /// Identifies a rank group: ranks that run in lockstep with one expert map.
    GroupId,
    64
);
text_id!(
    /// Identifies a model.
    ModelId,
    64
);
text_id!(
    /// Identifies an adapter of a model.
    AdapterId,
    64
);
text_id!(
    /// Identifies a route of the operators' configuration.
    RouteId,
    64
);
text_id!(
    /// Secret key that identifies the workspace of a caller.
    CallerKey,
    128
);
