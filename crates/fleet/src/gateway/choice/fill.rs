//! Spreading work over unevenly loaded places as water fills a vessel.

/// Rounds of the search for the level; it converges in fewer unless the places differ a lot.
const MAX_ROUNDS: usize = 12;
/// Relative difference of two levels at which the search ends.
const TOLERANCE: f64 = 1e-6;

/// A place that work can go to.
#[derive(Clone, Copy, Debug)]
pub(super) struct FillPlace {
    /// Height up to which it is filled.
    pub(super) height: f64,
    /// Work that raises the height by one.
    pub(super) width: f64,
}

impl FillPlace {
    /// Work that fits below `level`.
    pub(super) fn room(&self, level: f64) -> f64 {
        (level - self.height).max(0.0) * self.width
    }
}

/// Height that all places filled lowest first have after `work` was added.
///
/// The room below a level is a convex function of the level, so that Newton's method, once above the
/// solution, approaches it from there.
pub(super) fn fill_level(places: &[FillPlace], work: f64) -> f64 {
    let lowest = places.iter().map(|it| it.height).fold(f64::MAX, f64::min);
    let widths: f64 = places.iter().map(|it| it.width).sum();
    let filled: f64 = places.iter().map(|it| it.height * it.width).sum();
    let mut level = ((work + filled) / widths).max(lowest);
    for _ in 0..MAX_ROUNDS {
        let (mut room, mut width) = (0.0, 0.0);
        for place in places.iter().filter(|it| it.height < level) {
            room += (level - place.height) * place.width;
            width += place.width;
        }
        if width <= 0.0 {
            return level;
        }
        let next = level - (room - work) / width;
        let is_settled = (next - level).abs() <= TOLERANCE * level.abs().max(TOLERANCE);
        level = next;
        if is_settled {
            break;
        }
    }
    level
}
