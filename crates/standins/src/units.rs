//! Serde modules that encode durations as integers, for `#[serde(with)]`.

/// Encodes a [`MilliSpan`](amaranthgw_core::MilliSpan) as milliseconds.
pub(crate) mod millis {
    use amaranthgw_core::MilliSpan;
    use serde::{Deserialize, Deserializer, Serializer};

    #[expect(
        clippy::trivially_copy_pass_by_ref,
        reason = "the signature is serde's"
    )]
    pub(crate) fn serialize<S: Serializer>(span: &MilliSpan, out: S) -> Result<S::Ok, S::Error> {
        out.serialize_u64(span.millis())
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<MilliSpan, D::Error> {
        u64::deserialize(input).map(MilliSpan::new)
    }
}

/// Encodes a [`Duration`](std::time::Duration) as microseconds.
pub(crate) mod micros {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serializer};

    pub(crate) fn serialize<S: Serializer>(span: &Duration, out: S) -> Result<S::Ok, S::Error> {
        out.serialize_u128(span.as_micros())
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<Duration, D::Error> {
        u64::deserialize(input).map(Duration::from_micros)
    }
}

/// Encodes a [`Duration`](std::time::Duration) as nanoseconds.
pub(crate) mod nanos {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serializer};

    pub(crate) fn serialize<S: Serializer>(span: &Duration, out: S) -> Result<S::Ok, S::Error> {
        out.serialize_u128(span.as_nanos())
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<Duration, D::Error> {
        u64::deserialize(input).map(Duration::from_nanos)
    }
}
