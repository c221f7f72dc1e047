//! Identifiers of shares, of their holders and of the stored values that contain them.

use amaranthgw_core::{ParseError, ServiceId, StartMark, VmId, WorkspaceId};
use compact_str::CompactString;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Identifies one run of an entry process by its VM and its start mark, written as `vm@7`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId {
    vm: VmId,
    start: StartMark,
}

impl HolderId {
    /// Creates the identifier; `start` must differ between two runs on the same VM.
    #[must_use]
    pub fn new(vm: VmId, start: StartMark) -> Self {
        Self { vm, start }
    }
}

impl std::fmt::Display for HolderId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}@{}", self.vm, self.start)
    }
}

impl std::str::FromStr for HolderId {
    type Err = ParseError;

    fn from_str(text: &str) -> std::result::Result<Self, ParseError> {
        let error = || ParseError::new("HolderId", "a text like vm@7", text);
        let (vm, start) = text.split_once('@').ok_or_else(error)?;
        Ok(Self::new(vm.parse()?, start.parse()?))
    }
}

/// Identifies a limit by workspace and service, written as `workspace|service`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShareKey {
    /// Workspace that the limit applies to.
    pub workspace: WorkspaceId,
    /// Service that the plan of the workspace includes.
    pub service: ServiceId,
}

impl ShareKey {
    /// Creates the key of the limit of `workspace` on `service`.
    #[must_use]
    pub fn new(workspace: WorkspaceId, service: ServiceId) -> Self {
        Self { workspace, service }
    }
}

impl std::fmt::Display for ShareKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}|{}", self.workspace, self.service)
    }
}

impl std::str::FromStr for ShareKey {
    type Err = ParseError;

    fn from_str(text: &str) -> std::result::Result<Self, ParseError> {
        let error = || ParseError::new("ShareKey", "a text like workspace|service", text);
        let (workspace, service) = text.split_once('|').ok_or_else(error)?;
        Ok(Self::new(workspace.parse()?, service.parse()?))
    }
}

/// Index of the stored value that contains the shares of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShareShard(u16);

impl ShareShard {
    /// Returns the shard of `workspace` among `count` shards, by its 32-bit FNV-1a hash.
    #[must_use]
    pub fn with_workspace(workspace: &WorkspaceId, count: u16) -> Self {
        const FNV_OFFSET: u32 = 0x811c_9dc5;
        const FNV_PRIME: u32 = 0x0100_0193;
        let fold = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME);
        let hash = workspace.as_str().bytes().fold(FNV_OFFSET, fold);
        let shard = hash % u32::from(count.max(1));
        Self(u16::try_from(shard).unwrap_or(0))
    }

    /// Key of the shard's value in the key-value service.
    #[must_use]
    pub fn store_key(self) -> CompactString {
        compact_str::format_compact!("limits/{}", self.0)
    }
}

/// Implements serde for a type through its `Display` and `FromStr`.
macro_rules! serde_as_text {
    ($name:ident) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, out: S) -> std::result::Result<S::Ok, S::Error> {
                out.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(input: D) -> std::result::Result<Self, D::Error> {
                let text = CompactString::deserialize(input)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

serde_as_text!(HolderId);
serde_as_text!(ShareKey);
