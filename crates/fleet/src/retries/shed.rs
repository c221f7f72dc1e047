//! Load shedding at an overloaded entry, lowest refund weight first. The refund weight of a request
//! comes from its plan: the relative cost of a late answer.

use std::time::Duration;

use tokio::time::Instant;

/// Offered load of all plans that have the same refund weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightLoad {
    /// Relative cost of a late answer.
    pub refund_weight: u32,
    /// Offered load, in the same unit as the capacity.
    pub load: f32,
}

/// Refund weight below which requests are shed, and the fraction admitted at that weight.
///
/// The control thread computes it from the offered load; traffic threads apply it to each request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShedThreshold {
    weight: u32,
    admitted_at_weight: f32,
}

/// Input of a shedding decision.
#[derive(Clone, Copy, Debug)]
pub struct ShedInput {
    /// Relative cost of a late answer to the request.
    pub refund_weight: u32,
    /// Minimum time in which the answer can be complete.
    pub needed: Duration,
    /// Deadline of the answer.
    pub deadline: Instant,
    /// Random number in `0.0..1.0` that selects requests at the threshold weight.
    pub draw: f32,
}

/// Why a request is shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShedReason {
    /// Its answer would be late even if it started now.
    DeadlineTooNear,
    /// Requests with the same or a higher refund weight use the whole capacity.
    LowRefundWeight,
}

/// Result of a shedding decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShedVerdict {
    /// The request may start.
    Admit,
    /// The request is refused before any attempt.
    Shed(ShedReason),
}

impl ShedThreshold {
    /// Creates the threshold that sheds no request for its refund weight.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            weight: 0,
            admitted_at_weight: 1.0,
        }
    }

    /// Creates the threshold that admits as much of the `offered` load as fits into `capacity`,
    /// highest weights first.
    #[must_use]
    pub fn with_load(offered: &[WeightLoad], capacity: f32) -> Self {
        let mut by_weight = offered.to_vec();
        by_weight.sort_by_key(|row| std::cmp::Reverse(row.refund_weight));
        let mut room = capacity.max(0.0);
        let mut rows = by_weight.as_slice();
        while let Some(first) = rows.first() {
            let weight = first.refund_weight;
            let same = rows
                .iter()
                .take_while(|row| row.refund_weight == weight)
                .count();
            let load: f32 = rows[..same].iter().map(|row| row.load).sum();
            if load > room {
                let admitted_at_weight = room / load;
                return Self {
                    weight,
                    admitted_at_weight,
                };
            }
            room -= load;
            rows = &rows[same..];
        }
        Self::new()
    }

    /// Decides on a request at `now`.
    #[must_use]
    pub fn decide(self, input: &ShedInput, now: Instant) -> ShedVerdict {
        if now + input.needed > input.deadline {
            return ShedVerdict::Shed(ShedReason::DeadlineTooNear);
        }
        if self.admits(input.refund_weight, input.draw) {
            return ShedVerdict::Admit;
        }
        ShedVerdict::Shed(ShedReason::LowRefundWeight)
    }

    fn admits(self, refund_weight: u32, draw: f32) -> bool {
        match refund_weight.cmp(&self.weight) {
            std::cmp::Ordering::Less => false,
            std::cmp::Ordering::Equal => draw < self.admitted_at_weight,
            std::cmp::Ordering::Greater => true,
        }
    }
}

impl Default for ShedThreshold {
    fn default() -> Self {
        Self::new()
    }
}
