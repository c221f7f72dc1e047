//! Splits the tokens of each replicated expert so that the ranks are evenly loaded.
//!
//! A new split moves no weights: only the map's version changes.

use super::loads::largest;
use super::{LayerMap, LoadShare, ReplicaShare, rank_loads};

const MAX_SWEEPS: usize = 24;
/// Sweeps end once the largest load falls by less than this part.
const MIN_PROGRESS: f64 = 0.000_5;

/// Splits the tokens of every replicated expert anew and returns the loads of the ranks.
pub fn balance_shares(map: &mut LayerMap, experts: &[LoadShare], ranks: usize) -> Vec<LoadShare> {
    let mut loads = rank_loads(map, experts, ranks);
    let mut before = largest(&loads);
    for _ in 0..MAX_SWEEPS {
        sweep(map, experts, &mut loads);
        let after = largest(&loads);
        if before - after < before * MIN_PROGRESS {
            break;
        }
        before = after;
    }
    loads
}

fn sweep(map: &mut LayerMap, experts: &[LoadShare], loads: &mut [LoadShare]) {
    for (replicas, load) in map.experts.iter_mut().zip(experts) {
        if replicas.len() < 2 || *load <= 0.0 {
            continue;
        }
        for replica in replicas.iter() {
            loads[usize::from(replica.rank.get())] -= load * replica.share.fraction();
        }
        replicas.sort_by(|a, b| {
            let (a, b) = (usize::from(a.rank.get()), usize::from(b.rank.get()));
            loads[a].total_cmp(&loads[b])
        });
        let others: Vec<LoadShare> = replicas
            .iter()
            .map(|replica| loads[usize::from(replica.rank.get())])
            .collect();
        let shares = fill(&others, *load);
        for (replica, share) in replicas.iter_mut().zip(shares) {
            replica.share = share;
            loads[usize::from(replica.rank.get())] += load * share.fraction();
        }
    }
}

/// Shares of `load` that bring the least loaded of `others`, in rising order, to one level.
fn fill(others: &[LoadShare], load: LoadShare) -> Vec<ReplicaShare> {
    let level = fill_level(others, load);
    let mut left = ReplicaShare::WHOLE.0;
    let mut shares = Vec::with_capacity(others.len());
    for other in others {
        let part = ((level - other).max(0.0) / load).min(1.0);
        let share = to_share(part).min(left);
        left -= share;
        shares.push(ReplicaShare(share));
    }
    if let Some(first) = shares.first_mut() {
        first.0 += left;
    }
    shares
}

fn fill_level(others: &[LoadShare], load: LoadShare) -> LoadShare {
    let mut filled = 0.0;
    let mut number = 0.0;
    for (index, other) in others.iter().enumerate() {
        filled += other;
        number += 1.0;
        let level = (filled + load) / number;
        let is_below_next = others.get(index + 1).is_none_or(|next| level <= *next);
        if is_below_next {
            return level;
        }
    }
    load
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the part is between 0 and 1"
)]
fn to_share(part: f64) -> u16 {
    (part * f64::from(ReplicaShare::WHOLE.0)).round() as u16
}
