//! Weighted draws in constant time.

/// Draws positions with probabilities in proportion to their weights (alias method).
#[derive(Clone, Debug, Default)]
pub(super) struct AliasTable {
    slots: Vec<AliasSlot>,
}

#[derive(Clone, Copy, Debug)]
struct AliasSlot {
    keep_share: f32,
    other: usize,
}

impl AliasTable {
    /// Creates the table for `weights`; where all are zero, positions are equally likely.
    pub fn new(weights: &[f32]) -> Self {
        let total: f32 = weights.iter().sum();
        let scale = if total > 0.0 {
            as_share(weights.len()) / total
        } else {
            0.0
        };
        let mut shares: Vec<f32> = weights.iter().map(|weight| weight * scale).collect();
        let keep_all = |position| AliasSlot {
            keep_share: 1.0,
            other: position,
        };
        let mut slots: Vec<AliasSlot> = (0..shares.len()).map(keep_all).collect();
        if total > 0.0 {
            fill(&mut slots, &mut shares);
        }
        Self { slots }
    }

    /// Draws a position; `None` where there are none.
    pub fn draw(&self) -> Option<usize> {
        if self.slots.is_empty() {
            return None;
        }
        let position = fastrand::usize(..self.slots.len());
        let slot = self.slots[position];
        Some(if fastrand::f32() < slot.keep_share {
            position
        } else {
            slot.other
        })
    }
}

/// Gives the room that light positions leave to heavy ones.
fn fill(slots: &mut [AliasSlot], shares: &mut [f32]) {
    let is_light = |position: &usize| shares[*position] < 1.0;
    let (mut light, mut heavy): (Vec<usize>, Vec<usize>) = (0..shares.len()).partition(is_light);
    while let (Some(small), Some(large)) = (light.pop(), heavy.pop()) {
        slots[small] = AliasSlot {
            keep_share: shares[small],
            other: large,
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
fn as_share(count: usize) -> f32 {
    count as f32
}
