//! Hashes and number types that identify claims.

use amaranthgw_core::{IdempotencyKey, ParseError, ServiceId, WorkspaceId};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Number of stored values over which claims are sharded.
///
/// Part of the stored format: with another count, a key would be looked up in a value that does
/// not hold its claim, and its request could run again.
pub const SHARD_COUNT: u32 = 64;

/// Size of a truncated digest.
const HASH_BYTES: usize = 16;

/// Returns the first 128 bits of SHA-256 over `parts`, each prefixed with its length so that
/// different splits of the same bytes have different hashes.
fn hash_parts(parts: &[&[u8]]) -> u128 {
    let mut hasher = Sha256::new();
    for part in parts {
        let length = u64::try_from(part.len()).unwrap_or(u64::MAX);
        hasher.update(length.to_le_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut truncated = [0; HASH_BYTES];
    truncated.copy_from_slice(&digest[..HASH_BYTES]);
    u128::from_be_bytes(truncated)
}

/// Declares a 128-bit hash type whose text form is 32 hexadecimal digits.
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
                let has_32_digits = text.len() == 32 && !text.starts_with('+');
                let parsed = u128::from_str_radix(text, 16).ok().filter(|_| has_32_digits);
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
    /// Hash of service, method with path, and body of a request; equal requests have equal
    /// fingerprints.
    BodyFingerprint
);

impl KeyHash {
    /// Hashes `key` in the scope of `workspace`.
    #[must_use]
    pub fn new(workspace: &WorkspaceId, key: &IdempotencyKey) -> Self {
        Self(hash_parts(&[
            workspace.as_str().as_bytes(),
            key.as_str().as_bytes(),
        ]))
    }

    /// Shard that holds claims on this key.
    #[must_use]
    pub fn shard(self) -> ShardNumber {
        let remainder = self.0 % u128::from(SHARD_COUNT);
        ShardNumber(u32::try_from(remainder).unwrap_or_default())
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

/// Declares a number type that `Display`, `FromStr` and `serde` write as a plain number.
macro_rules! plain_number {
    ($(#[$meta:meta])* $name:ident, $inner:ty) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Wraps a plain number.
            #[must_use]
            pub const fn new(number: $inner) -> Self {
                Self(number)
            }

            /// The plain number.
            #[must_use]
            pub const fn get(self) -> $inner {
                self.0
            }

            /// Returns the next number; saturates at the maximum.
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
    /// Index of a stored value, from 0 to [`SHARD_COUNT`] - 1.
    ShardNumber, u32
);
plain_number!(
    /// Random number that a process draws at its start; unique to one run of one process.
    HolderNumber, u64
);
plain_number!(
    /// Serial number of a claim within one process.
    ClaimSerial, u64
);
