//! Keys and lease identifiers of the key-value service.

use std::str::FromStr;

use compact_str::CompactString;

/// Key of a value, such as `a/b`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct StoreKey(CompactString);

impl StoreKey {
    /// Joins the path segments of a key with `/`.
    pub(super) fn with_segments(segments: &[&str]) -> Self {
        Self(segments.join("/").into())
    }
}

impl std::fmt::Display for StoreKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// Lease identifier, written as `lease-7`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct LeaseId(u64);

impl LeaseId {
    const PREFIX: &str = "lease-";

    pub(super) const fn new(number: u64) -> Self {
        Self(number)
    }
}

impl std::fmt::Display for LeaseId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}{}", Self::PREFIX, self.0)
    }
}

impl FromStr for LeaseId {
    type Err = LeaseIdError;

    fn from_str(text: &str) -> Result<Self, LeaseIdError> {
        let number = text.strip_prefix(Self::PREFIX).ok_or(LeaseIdError)?;
        let number = number.parse().map_err(|_invalid_number| LeaseIdError)?;
        Ok(Self(number))
    }
}

/// Error of parsing a lease identifier.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseIdError;

impl std::fmt::Display for LeaseIdError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("expected a lease identifier such as lease-7")
    }
}

impl std::error::Error for LeaseIdError {}
