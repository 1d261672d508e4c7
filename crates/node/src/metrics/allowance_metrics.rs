//! Metrics of the allowances of workspaces. None is labelled by workspace, because their number is not bounded.

use {
    crate::{AllowanceCounts, Allowances},
    opentelemetry::metrics::Meter,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

type CounterReader = fn(&AllowanceCounts) -> &AtomicU64;
type GaugeReader = fn(&Allowances) -> usize;

const COUNTERS: [(&str, &str, CounterReader); 4] = [
    (
        "jujubeline_allowance_questions",
        "Questions about allowances sent to other nodes.",
        |counts| &counts.asked,
    ),
    (
        "jujubeline_allowance_tokens_lent",
        "Tokens lent from the shares of this node.",
        |counts| &counts.lent,
    ),
    (
        "jujubeline_allowance_late_answers",
        "Waits for an owner that lasted longer than the reply timeout.",
        |counts| &counts.unanswered,
    ),
    (
        "jujubeline_allowance_denied",
        "Requests refused because an allowance was used up or unknown.",
        |counts| &counts.denied,
    ),
];

const GAUGES: [(&str, &str, GaugeReader); 3] = [
    (
        "jujubeline_allowance_workspaces",
        "Workspaces with an allowance.",
        Allowances::limited_workspaces,
    ),
    (
        "jujubeline_allowance_shares",
        "Shares that this node has lent from.",
        Allowances::shares,
    ),
    (
        "jujubeline_allowance_borrowers",
        "Workspaces for whose requests this node has borrowed.",
        Allowances::borrowers,
    ),
];

pub(super) fn observe_allowances(meter: &Meter, allowances: &Arc<Allowances>) {
    for (name, description, read) in COUNTERS {
        let allowances = Arc::clone(allowances);
        meter
            .u64_observable_counter(name)
            .with_description(description)
            .with_callback(move |observer| {
                observer.observe(read(&allowances.counts).load(Ordering::Relaxed), &[]);
            })
            .build();
    }
    for (name, description, read) in GAUGES {
        let allowances = Arc::clone(allowances);
        meter
            .u64_observable_gauge(name)
            .with_description(description)
            .with_callback(move |observer| observer.observe(read(&allowances) as u64, &[]))
            .build();
    }
}
