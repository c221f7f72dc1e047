//! Balancing of the token shares of replicated experts across ranks.
//!
//! Changing shares moves no weights; it takes only a new version of the map.

use super::loads::largest;
use super::{LayerMap, LoadShare, ReplicaShare, rank_loads};

const MAX_SWEEPS: usize = 24;
/// Sweeps end after one that lowers the largest load by less than this fraction.
const MIN_PROGRESS: f64 = 0.000_5;

/// Recomputes the shares of all replicated experts and returns the loads of the ranks.
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
        let shares = fill_shares(&others, *load);
        for (replica, share) in replicas.iter_mut().zip(shares) {
            replica.share = share;
            loads[usize::from(replica.rank.get())] += load * share.fraction();
        }
    }
}

/// Splits `load` into one share per rank, so that the least loaded ranks reach a common load.
/// `others` is the other load of each rank, ascending.
fn fill_shares(others: &[LoadShare], load: LoadShare) -> Vec<ReplicaShare> {
    let target_load = common_load(others, load);
    let mut remaining = ReplicaShare::WHOLE.0;
    let mut shares = Vec::with_capacity(others.len());
    for other in others {
        let fraction = ((target_load - other).max(0.0) / load).min(1.0);
        let share = to_share_units(fraction).min(remaining);
        remaining -= share;
        shares.push(ReplicaShare(share));
    }
    if let Some(first) = shares.first_mut() {
        first.0 += remaining;
    }
    shares
}

fn common_load(others: &[LoadShare], load: LoadShare) -> LoadShare {
    let mut filled = 0.0;
    let mut count = 0.0;
    for (index, other) in others.iter().enumerate() {
        filled += other;
        count += 1.0;
        let target_load = (filled + load) / count;
        let is_below_next = others
            .get(index + 1)
            .is_none_or(|next| target_load <= *next);
        if is_below_next {
            return target_load;
        }
    }
    load
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the fraction is between 0 and 1"
)]
fn to_share_units(fraction: f64) -> u16 {
    (fraction * f64::from(ReplicaShare::WHOLE.0)).round() as u16
}
