//! Number types: versions, sequence numbers, indices, and the conversion from `f64`.

use crate::macros::{number_type, serde_as_text, value_type};
use crate::parse::{ParseError, Result};

number_type!(
    /// Number of a change in the configuration log, starting at 1.
    ChangeNumber, u64
);
number_type!(
    /// Number of an attempt of one request at the entry, starting at 0.
    AttemptNumber, u32
);
number_type!(
    /// Sequence number of a chunk in an answer, starting at 0.
    ChunkSequence, u64
);
number_type!(
    /// Version of a rank group's expert map.
    MapVersion, u64
);
number_type!(
    /// Generation of a rank group; replacing a rank starts a new one.
    GroupGeneration, u64
);
number_type!(
    /// Number of a step of a rank group.
    StepNumber, u64
);
number_type!(
    /// Fencing token: a later holder of a lease has a larger one.
    FencingNumber, u64
);
number_type!(
    /// Identifies one run of a target process; changes at each start.
    StartMark, u64
);
number_type!(
    /// Number of a heartbeat of a target since its start.
    HeartbeatNumber, u64
);
number_type!(
    /// Index of a rank in its rank group, starting at 0.
    RankId, u16
);
number_type!(
    /// Index of an expert in its layer, starting at 0.
    ExpertId, u16
);
number_type!(
    /// Index of a layer in its model, starting at 0.
    LayerId, u16
);
number_type!(
    /// Version of the operators' configuration; versions increase, but not always by 1.
    ConfigVersion, u64
);
number_type!(
    /// Identifies a lease of the key-value service; 0 means no lease.
    LeaseId, u64
);

number_type!(
    /// Priority of a route or workspace; 0 is the highest.
    PriorityLevel, u8
);
number_type!(
    /// Urgency of a request, as targets are told; 0 is the most urgent.
    CallUrgency, u8
);
number_type!(
    /// Number of a request among those of its service at one gateway, in order of arrival.
    WaiterNumber, u64
);

impl CallUrgency {
    /// The least urgent.
    pub const LEAST: Self = Self(9);
}

/// Truncates `value` to a whole number; saturates at 0 and `u64::MAX`. NaN gives 0.
#[must_use]
pub fn saturating_whole(value: f64) -> u64 {
    // `as` casts from float to integer saturate.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "saturates"
    )]
    let whole = value.max(0.0) as u64;
    whole
}

value_type! {
    /// Identifies a part of a prompt, which requests may share; written in hexadecimal.
    #[derive(Copy)]
    pub struct PartId(u64);
}

impl PartId {
    /// Creates the identifier from its number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The identifier as a number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl std::fmt::Display for PartId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl std::str::FromStr for PartId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u64::from_str_radix(text, 16).ok().filter(|_| is_hex);
        let error = || ParseError::new("PartId", "1 to 16 hexadecimal digits", text);
        number.map(Self).ok_or_else(error)
    }
}

serde_as_text!(PartId);
