//! The metrics of the process in the Prometheus text format.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Renders the metrics recorded through the `metrics` macros.
#[derive(Clone, Debug)]
pub struct MetricsHandle {
    handle: PrometheusHandle,
}

impl MetricsHandle {
    /// Installs the recorder of the process, or a separate one where another is installed.
    #[must_use]
    pub fn new() -> Self {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // A process that embeds several nodes keeps the recorder of the first.
        drop(metrics::set_global_recorder(recorder));
        Self { handle }
    }

    /// All metrics as text.
    #[must_use]
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}

impl Default for MetricsHandle {
    fn default() -> Self {
        Self::new()
    }
}
