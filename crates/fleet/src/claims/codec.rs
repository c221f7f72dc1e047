//! Compact serialisation of shards and entries: nested sequences without field names.

use std::fmt;

use amaranthgw_core::RequestId;
use compact_str::CompactString;
use serde::de::{Error, SeqAccess, Visitor};
use serde::ser::{SerializeSeq, SerializeTuple};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::{
    BodyFingerprint, ClaimEntry, ClaimId, ClaimSerial, ClaimShard, ClaimState, HolderNumber,
    KeyHash, StoredAnswer,
};

const FORMAT_VERSION: u8 = 1;
/// Number of elements in an encoded entry.
const ENTRY_ELEMENTS: usize = 8;
/// Stored status of a claim whose request has no recorded answer.
const RUNNING_STATUS: u16 = 0;

struct KeyedEntry<Entry>(KeyHash, Entry);

impl Serialize for ClaimShard {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut seq = serializer.serialize_seq(Some(self.len() + 1))?;
        seq.serialize_element(&FORMAT_VERSION)?;
        for (key, entry) in self.iter() {
            seq.serialize_element(&KeyedEntry(*key, entry))?;
        }
        seq.end()
    }
}

impl<'de> Deserialize<'de> for ClaimShard {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(ShardVisitor)
    }
}

struct ShardVisitor;

impl<'de> Visitor<'de> for ShardVisitor {
    type Value = ClaimShard;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a sequence of a format version and claim entries")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<ClaimShard, A::Error> {
        let version = required::<u8, A>(&mut seq, "format version")?;
        if version != FORMAT_VERSION {
            return Err(A::Error::custom(format_args!(
                "unsupported claim format version {version}, expected {FORMAT_VERSION}"
            )));
        }
        let mut shard = ClaimShard::new();
        while let Some(KeyedEntry(key, entry)) = seq.next_element()? {
            if shard.insert(key, entry).is_some() {
                return Err(A::Error::custom(format_args!(
                    "duplicate claim on key {key}"
                )));
            }
        }
        Ok(shard)
    }
}

impl Serialize for KeyedEntry<&ClaimEntry> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let Self(key, entry) = self;
        let (status, body) = match &entry.state {
            ClaimState::Running => (RUNNING_STATUS, None),
            ClaimState::Finished(StoredAnswer::StatusOnly { status }) => (*status, None),
            ClaimState::Finished(StoredAnswer::Whole { status, body }) => (*status, Some(body)),
        };
        let mut tuple = serializer.serialize_tuple(ENTRY_ELEMENTS)?;
        tuple.serialize_element(key)?;
        tuple.serialize_element(&entry.fingerprint)?;
        tuple.serialize_element(&entry.id.holder)?;
        tuple.serialize_element(&entry.id.serial)?;
        tuple.serialize_element(&entry.request)?;
        tuple.serialize_element(&entry.made_at_unix_ms)?;
        tuple.serialize_element(&status)?;
        tuple.serialize_element(&body)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for KeyedEntry<ClaimEntry> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(ENTRY_ELEMENTS, EntryVisitor)
    }
}

struct EntryVisitor;

impl<'de> Visitor<'de> for EntryVisitor {
    type Value = KeyedEntry<ClaimEntry>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a claim entry")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let key = required::<KeyHash, A>(&mut seq, "key")?;
        let fingerprint = required::<BodyFingerprint, A>(&mut seq, "fingerprint")?;
        let holder = required::<HolderNumber, A>(&mut seq, "holder")?;
        let serial = required::<ClaimSerial, A>(&mut seq, "serial")?;
        let request = required::<RequestId, A>(&mut seq, "request")?;
        let made_at_unix_ms = required::<u64, A>(&mut seq, "time")?;
        let status = required::<u16, A>(&mut seq, "status")?;
        let body = required::<Option<CompactString>, A>(&mut seq, "body")?;
        let entry = ClaimEntry {
            id: ClaimId { holder, serial },
            request,
            fingerprint,
            made_at_unix_ms,
            state: state_of(status, body),
        };
        Ok(KeyedEntry(key, entry))
    }
}

fn state_of(status: u16, body: Option<CompactString>) -> ClaimState {
    match (status, body) {
        (RUNNING_STATUS, _) => ClaimState::Running,
        (status, None) => ClaimState::Finished(StoredAnswer::StatusOnly { status }),
        (status, Some(body)) => ClaimState::Finished(StoredAnswer::Whole { status, body }),
    }
}

fn required<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(
    seq: &mut A,
    name: &'static str,
) -> Result<T, A::Error> {
    let element = seq.next_element()?;
    element.ok_or_else(|| A::Error::missing_field(name))
}
