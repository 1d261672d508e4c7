//! Counters, histograms and gauges.

mod allowance_metrics;
mod exporter;
mod node_metrics;

pub use {
    exporter::{Exporter, ObservedValues},
    node_metrics::Metrics,
};
