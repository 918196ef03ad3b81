//! Metrics in the Prometheus text format.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Upper bounds of histogram buckets, in seconds.
const BUCKETS_S: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 0.82, 1.5, 5.0, 20.0, 60.0];

static RENDERER: OnceLock<Renderer> = OnceLock::new();

/// Renders the metrics of the process; clones render the same metrics.
#[derive(Clone, Debug)]
pub struct Renderer(PrometheusHandle);

impl Renderer {
    /// Returns the metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.0.run_upkeep();
        self.0.render()
    }
}

/// Installs the recorder of `metrics` for the whole process; later calls return the same renderer.
pub fn install() -> Renderer {
    RENDERER.get_or_init(install_recorder).clone()
}

fn install_recorder() -> Renderer {
    let recorder = PrometheusBuilder::new()
        .set_buckets(&BUCKETS_S)
        .expect("invariant: there is at least one bucket")
        .build_recorder();
    let renderer = Renderer(recorder.handle());
    metrics::set_global_recorder(recorder).expect("invariant: the recorder is installed once");
    renderer
}
