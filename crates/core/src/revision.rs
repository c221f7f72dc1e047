//! Revisions of the key-value service, which may come back from an older copy of itself.

use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::macros::{number_type, value_type};
use crate::parse::{ParseError, Result};

number_type!(
    /// Number of times that the key-value service has come back from an older copy of itself.
    StoreEra, u64
);

value_type! {
    /// Revision that the key-value service assigns to a value at each write. Its numbers go back with each
    /// era, so revisions are ordered by era first. Displayed as the number, after the era and `-` unless
    /// that is 0.
    #[derive(Copy, Default)]
    pub struct StoreRevision((StoreEra, u64));
}

impl StoreRevision {
    /// Creates a revision of a service that has never come back from a copy.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self::in_era(StoreEra::new(0), number)
    }

    /// Creates a revision of `era`.
    #[must_use]
    pub const fn in_era(era: StoreEra, number: u64) -> Self {
        Self((era, number))
    }

    /// The era.
    #[must_use]
    pub const fn era(self) -> StoreEra {
        self.0.0
    }

    /// The next revision of the same era; saturates at the maximum.
    #[must_use]
    pub const fn next(self) -> Self {
        Self::in_era(self.era(), self.get().saturating_add(1))
    }

    /// The number within its era.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0.1
    }
}

impl std::fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.era() > StoreEra::default() {
            write!(f, "{}-", self.era())?;
        }
        self.get().fmt(f)
    }
}

impl std::str::FromStr for StoreRevision {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self> {
        let (era, number) = text.split_once('-').unwrap_or(("0", text));
        match (era.parse(), number.parse()) {
            (Ok(era), Ok(number)) => Ok(Self::in_era(era, number)),
            _ => Err(ParseError::new(
                "StoreRevision",
                "a text like 57 or 1-57",
                text,
            )),
        }
    }
}

impl Serialize for StoreRevision {
    fn serialize<S: Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        if !serializer.is_human_readable() {
            return self.0.serialize(serializer);
        }
        if self.era() > StoreEra::default() {
            return serializer.collect_str(self);
        }
        serializer.serialize_u64(self.get())
    }
}

impl<'de> Deserialize<'de> for StoreRevision {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            deserializer.deserialize_any(RevisionVisitor)
        } else {
            Deserialize::deserialize(deserializer).map(Self)
        }
    }
}

struct RevisionVisitor;

impl Visitor<'_> for RevisionVisitor {
    type Value = StoreRevision;

    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("a revision such as 57 or \"1-57\"")
    }

    fn visit_u64<E: Error>(self, v: u64) -> std::result::Result<StoreRevision, E> {
        Ok(StoreRevision::new(v))
    }

    fn visit_str<E: Error>(self, v: &str) -> std::result::Result<StoreRevision, E> {
        v.parse().map_err(E::custom)
    }
}
