//! Calls to the key-value service for the configuration, and the encoding of its values.

use amaranthgw_core::{ByteCount, ChangeNumber, MilliSpan, StoreRevision};
use compact_str::ToCompactString;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{ConfigBase, ConfigError, ConfigLog, Result};

/// Largest value that the key-value service accepts.
pub const MAX_VALUE_SIZE: ByteCount = ByteCount::new(1_024 * 1_024);

/// Key of a stored configuration value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ConfigKey {
    /// Key of the log.
    Log,
    /// Key of the base whose last change has this number.
    Base(ChangeNumber),
}

impl std::fmt::Display for ConfigKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Log => f.write_str("config/log"),
            Self::Base(number) => write!(f, "config/base/{number}"),
        }
    }
}

/// A call to the key-value service.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreCall {
    /// Reads the log.
    ReadLog,
    /// Waits for a revision of the log after `after` and reads it.
    WatchLog {
        /// Last known revision.
        after: StoreRevision,
        /// Longest wait.
        wait: MilliSpan,
    },
    /// Reads a base.
    ReadBase {
        /// Number of the base.
        number: ChangeNumber,
    },
    /// Creates a base; conflicts if it exists.
    WriteBase {
        /// Base to write; its state's number determines its key.
        base: Box<ConfigBase>,
    },
    /// Removes a base if its revision is `expect`.
    RemoveBase {
        /// Number of the base.
        number: ChangeNumber,
        /// Revision that it must have.
        expect: StoreRevision,
    },
    /// Writes the log if its revision is `expect`; 0 stands for a missing log.
    WriteLog {
        /// New content of the log.
        log: ConfigLog,
        /// Revision that it must have.
        expect: StoreRevision,
    },
}

impl StoreCall {
    /// Key of the value that the call reads or writes.
    #[must_use]
    pub fn key(&self) -> ConfigKey {
        match self {
            Self::ReadLog | Self::WatchLog { .. } | Self::WriteLog { .. } => ConfigKey::Log,
            Self::ReadBase { number } | Self::RemoveBase { number, .. } => ConfigKey::Base(*number),
            Self::WriteBase { base } => ConfigKey::Base(base.state.number),
        }
    }
}

/// Reply to a [`StoreCall`].
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// The log was read; a missing log is an empty one with revision 0.
    Log {
        /// Content of the log.
        log: ConfigLog,
        /// Revision of the log.
        revision: StoreRevision,
    },
    /// The log didn't change during the watch.
    Unchanged,
    /// The base was read.
    Base(Box<ConfigBase>),
    /// The base doesn't exist.
    Absent,
    /// The write or removal took effect; contains the new revision.
    Written(StoreRevision),
    /// The write or removal had no effect; contains the value's revision, 0 if it doesn't exist.
    Conflict(StoreRevision),
    /// The call failed and certainly had no effect, as with a refused connection or a failed read.
    Failed,
    /// The reply to a write was lost; the write may have taken effect or may still do so.
    Lost,
}

/// Encodes a stored configuration value as JSON.
///
/// # Errors
///
/// Returns [`ConfigError::TooLarge`] if the encoded value exceeds [`MAX_VALUE_SIZE`].
pub fn encode_value<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    let bytes = serde_json::to_vec(value).map_err(|error| unreadable(&error))?;
    let size = ByteCount::new(bytes.len() as u64);
    if size > MAX_VALUE_SIZE {
        let limit = MAX_VALUE_SIZE;
        return Err(ConfigError::TooLarge { size, limit });
    }
    Ok(bytes)
}

/// Decodes a stored configuration value.
///
/// # Errors
///
/// Returns [`ConfigError::Unreadable`] if `bytes` is not a valid encoding of `T`.
pub fn decode_value<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|error| unreadable(&error))
}

pub(super) fn unreadable(error: &serde_json::Error) -> ConfigError {
    ConfigError::Unreadable(error.to_compact_string())
}
