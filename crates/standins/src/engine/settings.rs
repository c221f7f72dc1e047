//! Settings of a model engine.

use amaranthgw_core::{MilliSpan, SlotCount};

use crate::settings::settings_type;

settings_type! {
    /// Settings of a model engine.
    EngineSettings {
        /// Requests in flight that the engine bears while it is cold.
        cold_slots, with_cold_slots: SlotCount = SlotCount::new(2);
        /// Requests in flight that the engine bears once it is warm.
        warm_slots, with_warm_slots: SlotCount = SlotCount::new(16);
        /// Finished requests after which a cold engine is warm.
        warm_after, with_warm_after: u64 = 8;
        /// Time of one decoding step, in which each running request gets one chunk.
        #[serde(rename = "token_ms", with = "crate::millis")]
        token_span, with_token_span: MilliSpan = MilliSpan::new(20);
        /// Largest number of chunks of one decoding step, by priority; 0: no limit.
        chunks_per_step, with_chunks_per_step: usize = 0;
        /// Time before the first chunk of a prompt whose prefix is not cached.
        #[serde(rename = "prefill_ms", with = "crate::millis")]
        prefill_span, with_prefill_span: MilliSpan = MilliSpan::new(60);
        /// Time before the first chunk of a prompt whose prefix is cached.
        #[serde(rename = "cached_prefill_ms", with = "crate::millis")]
        cached_prefill_span, with_cached_prefill_span: MilliSpan = MilliSpan::new(10);
        /// Largest number of cached prefixes.
        prefix_slots, with_prefix_slots: usize = 32;
        /// How far the load report lags behind.
        #[serde(rename = "load_lag_ms", with = "crate::millis")]
        load_lag, with_load_lag: MilliSpan = MilliSpan::new(200);
        /// Time for which the engine refuses everything after it fell over.
        #[serde(rename = "restart_ms", with = "crate::millis")]
        restart_span, with_restart_span: MilliSpan = MilliSpan::new(1_000);
        /// Whether an order with an old fencing number is refused.
        honour_fencing, with_honour_fencing: bool = true;
    }
}
