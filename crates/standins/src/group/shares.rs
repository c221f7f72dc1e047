//! Distribution of a step's tokens over the ranks and the resulting step times.

use std::time::Duration;

use amaranthgw_core::{EntityTable, ExpertId, LayerId, RankId};

use super::maps::MapShare;
use super::messages::LayerTokens;
use super::rows::RankRow;
use super::settings::GroupSettings;

/// Tokens and number of replicas of each expert in one layer.
#[derive(Debug)]
struct LayerTokenCounts {
    tokens: Vec<f64>,
    replicas: Vec<u32>,
}

/// Tokens and number of replicas of all experts under the maps that the ranks use.
#[derive(Debug)]
pub(super) struct ExpertTokens {
    layers: Vec<LayerTokenCounts>,
}

impl ExpertTokens {
    /// Computes the distribution of one step's tokens.
    pub(super) fn new(settings: &GroupSettings, ranks: &EntityTable<RankId, RankRow>) -> Self {
        let layers = (0..settings.layers).map(LayerId::new);
        let layers = layers
            .map(|layer| LayerTokenCounts::new(settings, ranks, layer))
            .collect();
        Self { layers }
    }

    /// Tokens of each expert of `share`; the replicas of an expert split its tokens evenly.
    pub(super) fn share_tokens(&self, share: &MapShare) -> Vec<LayerTokens> {
        let layers = share.iter().filter_map(|(layer, experts)| {
            let counts = self.layers.get(usize::from(layer.get()))?;
            let tokens = experts
                .iter()
                .map(|expert| (*expert, counts.tokens_per_replica(*expert)));
            Some(LayerTokens {
                layer: *layer,
                tokens: tokens.collect(),
            })
        });
        layers.collect()
    }

    /// Number of experts with tokens that no rank holds.
    pub(super) fn missing(&self) -> usize {
        self.layers.iter().map(LayerTokenCounts::missing).sum()
    }
}

impl LayerTokenCounts {
    fn new(settings: &GroupSettings, ranks: &EntityTable<RankId, RankRow>, layer: LayerId) -> Self {
        let mut replicas = vec![0; usize::from(settings.experts)];
        let shares = ranks.rows().filter_map(|row| row.maps.share(row.version));
        for expert in shares.filter_map(|share| share.get(&layer)).flatten() {
            if let Some(count) = replicas.get_mut(usize::from(expert.get())) {
                *count += 1;
            }
        }
        Self {
            tokens: expert_tokens(settings, layer),
            replicas,
        }
    }

    fn tokens_per_replica(&self, expert: ExpertId) -> f64 {
        let expert = usize::from(expert.get());
        match (self.tokens.get(expert), self.replicas.get(expert)) {
            (Some(tokens), Some(replicas @ 1..)) => tokens / f64::from(*replicas),
            _ => 0.0,
        }
    }

    fn missing(&self) -> usize {
        let experts = self.tokens.iter().zip(&self.replicas);
        experts
            .filter(|(tokens, replicas)| **tokens > 0.0 && **replicas == 0)
            .count()
    }
}

/// A rank's compute time in a step with `tokens`.
pub(super) fn compute_span(settings: &GroupSettings, tokens: &[LayerTokens]) -> Duration {
    let all = tokens.iter().flat_map(|layer| &layer.tokens);
    let sum = all.map(|(_, tokens)| tokens).sum::<f64>();
    settings.base_span + settings.token_span.mul_f64(sum)
}

fn expert_tokens(settings: &GroupSettings, layer: LayerId) -> Vec<f64> {
    let experts = usize::from(settings.experts);
    let rows = &settings.popularity;
    let row = rows.get(usize::from(layer.get())).or(rows.last());
    let mut weights = row.map_or_else(|| vec![1.0; experts], Clone::clone);
    weights.resize(experts, 0.0);
    let sum = weights.iter().map(|weight| weight.max(0.0)).sum::<f64>();
    let tokens = f64::from(settings.tokens_per_step);
    let scale = if sum > 0.0 { tokens / sum } else { 0.0 };
    weights
        .iter()
        .map(|weight| weight.max(0.0) * scale)
        .collect()
}
