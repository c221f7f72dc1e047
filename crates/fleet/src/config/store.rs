//! Calls of the key-value service that the configuration needs, and the encoding of its values.

use amaranthgw_core::{ByteCount, ChangeNumber, MilliSpan, StoreRevision};
use compact_str::ToCompactString;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{ConfigBase, ConfigError, ConfigLog, Result};

/// Largest value that the key-value service takes.
pub const MAX_VALUE: ByteCount = ByteCount::new(1_024 * 1_024);

/// Key of a value of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ConfigKey {
    /// The log.
    Log,
    /// The base that ends with the change of this number.
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

/// A call of the key-value service.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreCall {
    /// Reads the log.
    ReadLog,
    /// Waits at most `wait` until the log has a revision beyond `after`, and reads it.
    WatchLog {
        /// Revision already known.
        after: StoreRevision,
        /// Longest wait.
        wait: MilliSpan,
    },
    /// Reads a base.
    ReadBase {
        /// The base.
        number: ChangeNumber,
    },
    /// Writes a base that must not exist yet.
    WriteBase {
        /// The base; its state's number is its key.
        base: Box<ConfigBase>,
    },
    /// Removes a base if it still has the revision `expect`.
    RemoveBase {
        /// The base.
        number: ChangeNumber,
        /// Revision that it must have.
        expect: StoreRevision,
    },
    /// Writes the log if it still has the revision `expect`; 0 is an absent log.
    WriteLog {
        /// The new log.
        log: ConfigLog,
        /// Revision that it must have.
        expect: StoreRevision,
    },
}

impl StoreCall {
    /// The key of the value that the call concerns.
    #[must_use]
    pub fn key(&self) -> ConfigKey {
        match self {
            Self::ReadLog | Self::WatchLog { .. } | Self::WriteLog { .. } => ConfigKey::Log,
            Self::ReadBase { number } | Self::RemoveBase { number, .. } => ConfigKey::Base(*number),
            Self::WriteBase { base } => ConfigKey::Base(base.state.number),
        }
    }
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// The log; an absent log is the empty log with revision 0.
    Log {
        /// The log.
        log: ConfigLog,
        /// Its revision.
        revision: StoreRevision,
    },
    /// The log has not changed while the watch waited.
    Unchanged,
    /// The base.
    Base(Box<ConfigBase>),
    /// There is no such base.
    Absent,
    /// The write or removal took effect; holds the new revision.
    Written(StoreRevision),
    /// The write or removal did not take effect; holds the value's revision, 0 where absent.
    Conflict(StoreRevision),
    /// The call certainly had no effect, such as a refused connection or a failed read.
    Failed,
    /// The answer to a write is lost; the write may have taken effect or may still do so.
    Lost,
}

/// Encodes a value of the configuration.
///
/// # Errors
///
/// Returns [`ConfigError::TooLarge`] where the key-value service would not take the value.
pub fn encode_value<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    let bytes = serde_json::to_vec(value).map_err(|error| unreadable(&error))?;
    let size = ByteCount::new(bytes.len() as u64);
    if size > MAX_VALUE {
        let limit = MAX_VALUE;
        return Err(ConfigError::TooLarge { size, limit });
    }
    Ok(bytes)
}

/// Decodes a value of the configuration.
///
/// # Errors
///
/// Returns [`ConfigError::Unreadable`] where `bytes` is no such value.
pub fn decode_value<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|error| unreadable(&error))
}

pub(super) fn unreadable(error: &serde_json::Error) -> ConfigError {
    ConfigError::Unreadable(error.to_compact_string())
}
