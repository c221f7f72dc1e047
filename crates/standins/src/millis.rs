//! Encoding of a [`MilliSpan`] as a plain number of milliseconds, for `#[serde(with)]`.

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
