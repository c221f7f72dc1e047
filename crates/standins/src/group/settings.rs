//! Settings of a rank group stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthgw_core::{MilliSpan, ModelId};

use crate::settings::settings_type;

settings_type! {
    /// Settings of a rank group stand-in.
    GroupSettings {
        /// Number of ranks.
        ranks, with_ranks: u16 = 4;
        /// Number of layers with experts.
        layers, with_layers: u16 = 2;
        /// Number of experts of each layer.
        experts, with_experts: u16 = 16;
        /// Minimum time between the starts of two steps.
        #[serde(rename = "step_ms", with = "crate::units::millis")]
        step_span, with_step_span: MilliSpan = MilliSpan::new(20);
        /// Tokens that each layer processes in one step.
        tokens_per_step, with_tokens_per_step: u32 = 4_096;
        /// Fixed part of a rank's step time.
        #[serde(rename = "base_us", with = "crate::units::micros")]
        base_span, with_base_span: Duration = Duration::from_micros(500);
        /// Compute time of one token on one expert.
        #[serde(rename = "token_ns", with = "crate::units::nanos")]
        token_span, with_token_span: Duration = Duration::from_nanos(500);
        /// Relative popularity of each expert, one row per layer. The last row also applies to the
        /// layers after it; without rows all experts are equally popular.
        popularity, with_popularity: Vec<Vec<f64>> = Vec::new();
        /// Time to load one expert when no weight store is set.
        #[serde(rename = "load_ms", with = "crate::units::millis")]
        load_span, with_load_span: MilliSpan = MilliSpan::new(5);
        /// Address of the weight store from which experts are loaded.
        weights, with_weights: Option<SocketAddr> = None;
        /// Model whose experts are loaded; required if `weights` is set.
        model, with_model: Option<ModelId> = None;
        /// Whether orders with a fencing token smaller than the largest one seen are rejected.
        honour_fencing, with_honour_fencing: bool = true;
    }
}
