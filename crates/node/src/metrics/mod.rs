//! Counters, histograms and gauges.

mod exporter;
mod node_metrics;

pub use {
    exporter::{Exporter, ObservedValues},
    node_metrics::Metrics,
};
