//! Settings of a model engine stand-in.

use amaranthgw_core::{MilliSpan, SlotCount};

use crate::settings::settings_type;

settings_type! {
    /// Settings of a model engine stand-in.
    EngineSettings {
        /// Maximum number of requests in flight while cold; one more crashes the engine.
        cold_slots, with_cold_slots: SlotCount = SlotCount::new(2);
        /// Maximum number of requests in flight once warm; one more crashes the engine.
        warm_slots, with_warm_slots: SlotCount = SlotCount::new(16);
        /// Number of finished requests after which a cold engine becomes warm.
        warm_after, with_warm_after: u64 = 8;
        /// Time of one decoding step, which sends one chunk for each running request.
        #[serde(rename = "token_ms", with = "crate::units::millis")]
        token_span, with_token_span: MilliSpan = MilliSpan::new(20);
        /// Maximum number of chunks per decoding step, highest priority first; 0: no limit.
        chunks_per_step, with_chunks_per_step: usize = 0;
        /// Time before the first chunk of a prompt whose prefix is not cached.
        #[serde(rename = "prefill_ms", with = "crate::units::millis")]
        prefill_span, with_prefill_span: MilliSpan = MilliSpan::new(60);
        /// Time before the first chunk of a prompt whose prefix is cached.
        #[serde(rename = "cached_prefill_ms", with = "crate::units::millis")]
        cached_prefill_span, with_cached_prefill_span: MilliSpan = MilliSpan::new(10);
        /// Maximum number of cached prefixes.
        prefix_slots, with_prefix_slots: usize = 32;
        /// Delay after which a load becomes visible in reports.
        #[serde(rename = "load_lag_ms", with = "crate::units::millis")]
        load_lag, with_load_lag: MilliSpan = MilliSpan::new(200);
        /// Time that a restart after a crash takes; the engine answers nothing meanwhile.
        #[serde(rename = "restart_ms", with = "crate::units::millis")]
        restart_span, with_restart_span: MilliSpan = MilliSpan::new(1_000);
        /// Whether orders with a fencing token smaller than the largest one seen are rejected.
        honour_fencing, with_honour_fencing: bool = true;
    }
}
