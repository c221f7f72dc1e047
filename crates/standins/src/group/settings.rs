//! Settings of a rank group.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthgw_core::{MilliSpan, ModelId};

use crate::settings::settings_type;

settings_type! {
    /// Settings of a rank group.
    GroupSettings {
        /// Number of ranks.
        ranks, with_ranks: u16 = 4;
        /// Number of layers with experts.
        layers, with_layers: u16 = 2;
        /// Number of experts of each layer.
        experts, with_experts: u16 = 16;
        /// Shortest time from one step to the next.
        #[serde(rename = "step_ms", with = "crate::units::millis")]
        step_span, with_step_span: MilliSpan = MilliSpan::new(20);
        /// Tokens that each layer's experts take in one step.
        tokens_per_step, with_tokens_per_step: u32 = 4_096;
        /// Part of a rank's step time that does not depend on its experts.
        #[serde(rename = "base_us", with = "crate::units::micros")]
        base_span, with_base_span: Duration = Duration::from_micros(500);
        /// Time of one token on one expert.
        #[serde(rename = "token_ns", with = "crate::units::nanos")]
        token_span, with_token_span: Duration = Duration::from_nanos(500);
        /// Popularity of each expert, one row a layer; the last row stands for the layers after
        /// it, and without rows all experts are equally popular.
        popularity, with_popularity: Vec<Vec<f64>> = Vec::new();
        /// Time to load one expert where there is no weight store.
        #[serde(rename = "load_ms", with = "crate::units::millis")]
        load_span, with_load_span: MilliSpan = MilliSpan::new(5);
        /// Weight store from which experts are loaded.
        weights, with_weights: Option<SocketAddr> = None;
        /// Model whose experts are loaded from the weight store; required with one.
        model, with_model: Option<ModelId> = None;
        /// Whether an order with an old fencing number is refused.
        honour_fencing, with_honour_fencing: bool = true;
    }
}
