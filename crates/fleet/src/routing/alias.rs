//! Weighted random sampling in constant time.

/// Samples positions with probability proportional to their weights (alias method).
#[derive(Clone, Debug, Default)]
pub(super) struct AliasTable {
    slots: Vec<AliasSlot>,
}

#[derive(Clone, Copy, Debug)]
struct AliasSlot {
    keep_probability: f32,
    alias: usize,
}

impl AliasTable {
    /// Creates the table for `weights`; if all are zero, every position is equally likely.
    pub fn new(weights: &[f32]) -> Self {
        let total: f32 = weights.iter().sum();
        let scale = if total > 0.0 {
            as_float(weights.len()) / total
        } else {
            0.0
        };
        let mut shares: Vec<f32> = weights.iter().map(|weight| weight * scale).collect();
        let keep_all = |position| AliasSlot {
            keep_probability: 1.0,
            alias: position,
        };
        let mut slots: Vec<AliasSlot> = (0..shares.len()).map(keep_all).collect();
        if total > 0.0 {
            fill(&mut slots, &mut shares);
        }
        Self { slots }
    }

    /// Samples a position; `None` if the table is empty.
    pub fn draw(&self) -> Option<usize> {
        if self.slots.is_empty() {
            return None;
        }
        let position = fastrand::usize(..self.slots.len());
        let slot = self.slots[position];
        Some(if fastrand::f32() < slot.keep_probability {
            position
        } else {
            slot.alias
        })
    }
}

/// Fills the slots of positions below the mean weight with aliases to positions above it.
fn fill(slots: &mut [AliasSlot], shares: &mut [f32]) {
    let is_light = |position: &usize| shares[*position] < 1.0;
    let (mut light, mut heavy): (Vec<usize>, Vec<usize>) = (0..shares.len()).partition(is_light);
    while let (Some(small), Some(large)) = (light.pop(), heavy.pop()) {
        slots[small] = AliasSlot {
            keep_probability: shares[small],
            alias: large,
        };
        shares[large] -= 1.0 - shares[small];
        let rest = if shares[large] < 1.0 {
            &mut light
        } else {
            &mut heavy
        };
        rest.push(large);
    }
}

#[expect(clippy::cast_precision_loss, reason = "a subset has few targets")]
fn as_float(count: usize) -> f32 {
    count as f32
}
