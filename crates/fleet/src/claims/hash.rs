//! Hashes and numbers that identify claims.

use amaranthgw_core::{IdempotencyKey, ParseError, ServiceId, WorkspaceId};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Number of values over which claims are spread.
///
/// The number is part of the stored format: with another one, a key would be looked up in a
/// value that does not know it, and could run again.
pub const SHARD_COUNT: u32 = 64;

/// Length of the part of a digest that is kept, in bytes.
const HASH_BYTES: usize = 16;

/// The first 128 bits of SHA-256 over the parts, each preceded by its length so that parts
/// cannot run together.
fn hash_parts(parts: &[&[u8]]) -> u128 {
    let mut hasher = Sha256::new();
    for part in parts {
        let length = u64::try_from(part.len()).unwrap_or(u64::MAX);
        hasher.update(length.to_le_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut kept = [0; HASH_BYTES];
    kept.copy_from_slice(&digest[..HASH_BYTES]);
    u128::from_be_bytes(kept)
}

/// Declares a 128-bit hash that is written as 32 hexadecimal digits.
macro_rules! hash_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u128);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> std::result::Result<Self, ParseError> {
                let is_whole = text.len() == 32 && !text.starts_with('+');
                let parsed = u128::from_str_radix(text, 16).ok().filter(|_| is_whole);
                parsed
                    .map(Self)
                    .ok_or_else(|| ParseError::new(stringify!($name), "32 hex digits", text))
            }
        }

        impl Serialize for $name {
            fn serialize<S: serde::Serializer>(
                &self,
                serializer: S,
            ) -> std::result::Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(
                deserializer: D,
            ) -> std::result::Result<Self, D::Error> {
                let text = compact_str::CompactString::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

hash_type!(
    /// Hash of a workspace and an idempotency key.
    KeyHash
);
hash_type!(
    /// Hash of what a request asks for: equal requests have equal fingerprints.
    BodyFingerprint
);

impl KeyHash {
    /// Hashes `key` of `workspace`.
    #[must_use]
    pub fn new(workspace: &WorkspaceId, key: &IdempotencyKey) -> Self {
        Self(hash_parts(&[
            workspace.as_str().as_bytes(),
            key.as_str().as_bytes(),
        ]))
    }

    /// The value that holds claims on this key.
    #[must_use]
    pub fn shard(self) -> ShardNumber {
        let rest = self.0 % u128::from(SHARD_COUNT);
        ShardNumber(u32::try_from(rest).unwrap_or_default())
    }
}

impl BodyFingerprint {
    /// Hashes the service, the method with path, and the body of a request.
    #[must_use]
    pub fn new(service: &ServiceId, call: &str, body: &[u8]) -> Self {
        Self(hash_parts(&[
            service.as_str().as_bytes(),
            call.as_bytes(),
            body,
        ]))
    }
}

/// Declares a number with `Display`, `FromStr` and `serde` as a plain number.
macro_rules! plain_number {
    ($(#[$meta:meta])* $name:ident, $inner:ty) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Creates the number.
            #[must_use]
            pub const fn new(number: $inner) -> Self {
                Self(number)
            }

            /// The plain number.
            #[must_use]
            pub const fn get(self) -> $inner {
                self.0
            }

            /// The number that follows this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> std::result::Result<Self, ParseError> {
                let parsed = text.parse().ok();
                parsed
                    .map(Self)
                    .ok_or_else(|| ParseError::new(stringify!($name), "a whole number", text))
            }
        }
    };
}

pub(super) use plain_number;

plain_number!(
    /// Position of a value among those that hold claims.
    ShardNumber, u32
);
plain_number!(
    /// Random number that a process draws at its start; no two processes share one.
    HolderNumber, u64
);
plain_number!(
    /// Number of a claim within one process.
    ClaimSerial, u64
);
