//! Export in the text format of Prometheus.

use {
    super::{Metrics, allowance_metrics::observe_allowances},
    crate::{
        Views,
        control::{
            CallCounts, Control, DatagramCounts, MembershipHandle, PullCounts, UnreadableMembers,
        },
        data::{LingerEnd, LingeringCloses, Routes},
        error::{NodeError, NodeResult, report},
        target_tracker::TargetTracker,
    },
    jujubeline_coordination::{
        NoticeEffect,
        membership::{Counters, Presence, TargetState},
    },
    jujubeline_core::{Class, Peer, RefusalReason, RetryReason, RetryStop, Step},
    jujubeline_platform::PlatformClient,
    opentelemetry::{
        KeyValue,
        metrics::{Meter, MeterProvider},
    },
    opentelemetry_sdk::metrics::SdkMeterProvider,
    prometheus::{Encoder, Registry, TextEncoder},
    std::sync::{Arc, atomic::Ordering},
};

/// Upper bounds of the latency buckets in seconds. The lowest ones resolve the added latency of the nodes.
const LATENCY_BOUNDS_SECONDS: [f64; 16] = [
    0.000_25, 0.000_5, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5, 1.0, 2.0,
    5.0, 10.0,
];

/// Values that other parts of the node hold, read when the metrics are exported.
#[derive(Clone)]
pub struct ObservedValues {
    /// Gauges with a value for each class: name, description and reader.
    pub by_class: Vec<(&'static str, &'static str, ClassValueReader)>,
    /// Gauges: name, description and reader.
    pub gauges: Vec<(&'static str, &'static str, ValueReader)>,
    /// Counters: name, description and reader.
    pub counters: Vec<(&'static str, &'static str, ValueReader)>,
}

/// Reads the current value of one class.
pub type ClassValueReader = Arc<dyn Fn(Class) -> i64 + Send + Sync>;

/// Reads the current value of a gauge or a counter.
pub type ValueReader = Arc<dyn Fn() -> u64 + Send + Sync>;

/// Collects the metrics of one node.
#[derive(Debug)]
pub struct Exporter {
    registry: Registry,
    provider: SdkMeterProvider,
    metrics: Arc<Metrics>,
}

impl Exporter {
    /// An exporter with all counters of the data path at zero.
    ///
    /// # Errors
    ///
    /// When the exporter cannot be built.
    pub fn new() -> NodeResult<Self> {
        let registry = Registry::new();
        let reader = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|error| {
                report(
                    NodeError::Start,
                    Step::Settings,
                    Peer::Local,
                    format!("cannot build the metrics exporter: {error}"),
                )
            })?;
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        let meter = provider.meter("jujubeline");
        let histogram = |name, description| {
            meter
                .f64_histogram(name)
                .with_description(description)
                .with_boundaries(LATENCY_BOUNDS_SECONDS.to_vec())
                .build()
        };
        let metrics = Arc::new(Metrics::new(
            histogram(
                "jujubeline_request_seconds",
                "Time from a caller's request to the end of its complete response.",
            ),
            histogram(
                "jujubeline_target_seconds",
                "Time from the start of a request at the local target to the end of its complete response.",
            ),
        ));
        observe_reasons(&meter, &metrics);
        Ok(Self {
            registry,
            provider,
            metrics,
        })
    }

    /// Counters and latency histograms of the data path.
    #[must_use]
    pub fn metrics(&self) -> Arc<Metrics> {
        Arc::clone(&self.metrics)
    }

    /// Adds metrics that read the views and `observed_values`.
    pub fn observe(&self, views: &Views, observed_values: ObservedValues) {
        let meter = self.provider.meter("jujubeline");
        observe_views(&meter, views.clone());
        observe_in_flight(&meter, Arc::clone(&self.metrics));
        for (name, description, read) in observed_values.by_class {
            meter
                .i64_observable_gauge(name)
                .with_description(description)
                .with_callback(move |observer| {
                    for class in Class::ALL {
                        observer.observe(read(class), &[KeyValue::new("class", class.label())]);
                    }
                })
                .build();
        }
        for (name, description, read) in observed_values.gauges {
            meter
                .u64_observable_gauge(name)
                .with_description(description)
                .with_callback(move |observer| observer.observe(read(), &[]))
                .build();
        }
        for (name, description, read) in observed_values.counters {
            meter
                .u64_observable_counter(name)
                .with_description(description)
                .with_callback(move |observer| observer.observe(read(), &[]))
                .build();
        }
    }

    /// Adds metrics that read the counters of the control plane.
    pub fn observe_control(&self, control: &Control) {
        let meter = self.provider.meter("jujubeline");
        observe_membership(&meter, &control.membership());
        observe_datagrams(&meter, &control.datagrams());
        observe_unreadable_members(&meter, control.unreadable_members());
        observe_pulls(&meter, control.pulls());
        observe_silent_calls(&meter, control.peers().counts());
        observe_allowances(&meter, &control.allowances());
        if let Some(platform) = control.platform() {
            observe_platform(&meter, platform);
        }
    }

    /// Adds the share of each service's requests that leaves the data centre.
    pub fn observe_leaving(&self, routes: &Arc<Routes>) {
        let routes = Arc::clone(routes);
        self.provider
            .meter("jujubeline")
            .f64_observable_gauge("jujubeline_leaving_share")
            .with_description("Share of the requests that leaves the data centre, by service.")
            .with_callback(move |observer| {
                for (service, share) in routes.leaving_shares() {
                    observer.observe(share, &[KeyValue::new("service", service.to_string())]);
                }
            })
            .build();
    }

    /// Adds metrics of the notices of the local target.
    pub fn observe_target(&self, tracker: &Arc<TargetTracker>) {
        observe_notices(&self.provider.meter("jujubeline"), tracker);
    }

    /// Adds the connections that lingered after their last answer, by the reason for which that ended.
    pub fn observe_closes(&self, closes: &Arc<LingeringCloses>) {
        let closes = Arc::clone(closes);
        self.provider
            .meter("jujubeline")
            .u64_observable_counter("jujubeline_lingering_closes")
            .with_description(
                "Connections that were read on after their last answer, by the reason for the end.",
            )
            .with_callback(move |observer| {
                for end in LingerEnd::ALL {
                    observer.observe(closes.count(end), &[KeyValue::new("end", end.label())]);
                }
            })
            .build();
    }

    /// The metrics in the text format of Prometheus.
    #[must_use]
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to a vector cannot fail, and a family that cannot be encoded is left out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

fn observe_reasons(meter: &Meter, metrics: &Arc<Metrics>) {
    let counts = Arc::clone(metrics);
    meter
        .u64_observable_counter("jujubeline_refusals")
        .with_description("Refused requests by reason.")
        .with_callback(move |observer| {
            for reason in RefusalReason::ALL {
                let label = [KeyValue::new("reason", reason.label())];
                observer.observe(counts.refusals(reason), &label);
            }
        })
        .build();
    let counts = Arc::clone(metrics);
    meter
        .u64_observable_counter("jujubeline_retries")
        .with_description("Retries by reason.")
        .with_callback(move |observer| {
            for reason in RetryReason::ALL {
                let label = [KeyValue::new("reason", reason.label())];
                observer.observe(counts.retries(reason), &label);
            }
        })
        .build();
    let counts = Arc::clone(metrics);
    meter
        .u64_observable_counter("jujubeline_retries_stopped")
        .with_description("Failed attempts that were not retried, by reason.")
        .with_callback(move |observer| {
            for stop in RetryStop::ALL {
                let label = [KeyValue::new("reason", stop.label())];
                observer.observe(counts.retry_stops(stop), &label);
            }
        })
        .build();
}

fn observe_notices(meter: &Meter, tracker: &Arc<TargetTracker>) {
    let counted = Arc::clone(tracker);
    meter
        .u64_observable_counter("jujubeline_target_notices")
        .with_description("Notices of the local target by effect.")
        .with_callback(move |observer| {
            for effect in NoticeEffect::ALL {
                let label = [KeyValue::new("effect", effect.label())];
                observer.observe(counted.counts.notices(effect), &label);
            }
        })
        .build();
    let counted = Arc::clone(tracker);
    meter
        .u64_observable_counter("jujubeline_target_confirmations")
        .with_description("Health checks that were to confirm the process of a notice, by result.")
        .with_callback(move |observer| {
            let results = [
                ("confirmed", counted.counts.confirmed()),
                ("not_confirmed", counted.counts.not_confirmed()),
            ];
            for (result, count) in results {
                observer.observe(count, &[KeyValue::new("result", result)]);
            }
        })
        .build();
}

fn observe_in_flight(meter: &Meter, metrics: Arc<Metrics>) {
    meter
        .i64_observable_gauge("jujubeline_in_flight")
        .with_description("Exchanges with callers in flight.")
        .with_callback(move |observer| {
            for class in Class::ALL {
                let label = [KeyValue::new("class", class.label())];
                observer.observe(metrics.in_flight(class), &label);
            }
        })
        .build();
}

fn observe_views(meter: &Meter, views: Views) {
    let catalogue = views.catalogue;
    meter
        .u64_observable_gauge("jujubeline_catalogue_revision")
        .with_description("Catalogue revision in effect.")
        .with_callback(move |observer| observer.observe(catalogue.borrow().revision(), &[]))
        .build();
    let members = views.members;
    meter
        .u64_observable_gauge("jujubeline_members")
        .with_description("Known members by presence and target state.")
        .with_callback(move |observer| {
            let members = Arc::clone(&members.borrow());
            for presence in PRESENCES {
                for state in TARGET_STATES {
                    let count = members
                        .iter()
                        .filter(|member| {
                            member.presence == presence && member.target_state == state
                        })
                        .count();
                    let labels = [
                        KeyValue::new("presence", presence.to_string()),
                        KeyValue::new("target", state.to_string()),
                    ];
                    observer.observe(count as u64, &labels);
                }
            }
        })
        .build();
}

fn observe_membership(meter: &Meter, membership: &MembershipHandle) {
    type Read = fn(&Counters) -> u64;
    let counters: [(&'static str, &'static str, Read); 6] = [
        (
            "jujubeline_control_sent_bytes",
            "Bytes of datagrams sent to other nodes.",
            |counters| counters.sent_bytes,
        ),
        (
            "jujubeline_member_updates_dropped",
            "Member updates dropped because too many waited.",
            |counters| counters.updates_dropped,
        ),
        (
            "jujubeline_members_refused",
            "Members refused because the table was full.",
            |counters| counters.members_refused,
        ),
        (
            "jujubeline_relays_refused",
            "Indirect probes refused because too many were under way.",
            |counters| counters.relays_refused,
        ),
        (
            "jujubeline_hints_over_budget",
            "Hints not sent because of the byte budget.",
            |counters| counters.hints_over_budget,
        ),
        (
            "jujubeline_crash_reports_refused",
            "Crash reports refused because the table was full.",
            |counters| counters.crash_reports_refused,
        ),
    ];
    for (name, description, read) in counters {
        let membership = membership.clone();
        meter
            .u64_observable_counter(name)
            .with_description(description)
            .with_callback(move |observer| observer.observe(read(&membership.counters()), &[]))
            .build();
    }
}

fn observe_datagrams(meter: &Meter, counts: &Arc<DatagramCounts>) {
    let counts = Arc::clone(counts);
    meter
        .u64_observable_counter("jujubeline_datagrams_lost")
        .with_description("Datagrams that were not sent or not taken, by reason.")
        .with_callback(move |observer| {
            let reasons = [
                ("unsent", &counts.unsent),
                ("malformed", &counts.malformed),
                ("overflowed", &counts.overflowed),
            ];
            for (reason, count) in reasons {
                let label = [KeyValue::new("reason", reason)];
                observer.observe(count.load(Ordering::Relaxed), &label);
            }
        })
        .build();
}

fn observe_unreadable_members(meter: &Meter, unreadable: Arc<UnreadableMembers>) {
    meter
        .u64_observable_counter("jujubeline_members_unreadable")
        .with_description("Members from other nodes that could not be read and were left out.")
        .with_callback(move |observer| observer.observe(unreadable.count(), &[]))
        .build();
}

fn observe_pulls(meter: &Meter, counts: Arc<PullCounts>) {
    meter
        .u64_observable_counter("jujubeline_catalogue_pulls")
        .with_description("Pulls of the catalogue from other nodes, by result.")
        .with_callback(move |observer| {
            let results = [
                ("applied", &counts.applied),
                ("late", &counts.late),
                ("refused", &counts.refused),
                ("not_sent", &counts.not_sent),
                ("no_reply", &counts.no_reply),
            ];
            for (result, count) in results {
                let label = [KeyValue::new("result", result)];
                observer.observe(count.load(Ordering::Relaxed), &label);
            }
        })
        .build();
}

fn observe_silent_calls(meter: &Meter, counts: Arc<CallCounts>) {
    meter
        .u64_observable_counter("jujubeline_silent_calls")
        .with_description("Calls to other nodes on kept connections that went silent, by step.")
        .with_callback(move |observer| {
            let steps = [
                ("unanswered", &counts.silent),
                ("repeated", &counts.repeated),
                ("answered_anew", &counts.answered_anew),
            ];
            for (step, count) in steps {
                let label = [KeyValue::new("step", step)];
                observer.observe(count.load(Ordering::Relaxed), &label);
            }
        })
        .build();
}

fn observe_platform(meter: &Meter, platform: PlatformClient) {
    let restored = platform.clone();
    meter
        .u64_observable_counter("jujubeline_platform_restores")
        .with_description("Restores of the platform from a copy that this process saw.")
        .with_callback(move |observer| observer.observe(restored.restores(), &[]))
        .build();
    let read = platform.clone();
    meter
        .u64_observable_counter("jujubeline_platform_entries_unreadable")
        .with_description("Entries of the platform that cannot be read, each counted once.")
        .with_callback(move |observer| observer.observe(read.unreadable_entries(), &[]))
        .build();
    meter
        .u64_observable_counter("jujubeline_platform_calls")
        .with_description("Calls of the platform by step and result.")
        .with_callback(move |observer| {
            for call in platform.counts() {
                let labels = [
                    KeyValue::new("step", call.step.to_string()),
                    KeyValue::new("result", call.result.to_string()),
                ];
                observer.observe(call.count, &labels);
            }
        })
        .build();
}

const PRESENCES: [Presence; 5] = [
    Presence::Alive,
    Presence::Suspect,
    Presence::Unreachable,
    Presence::Dead,
    Presence::Left,
];

const TARGET_STATES: [TargetState; 4] = [
    TargetState::Cold,
    TargetState::Ready,
    TargetState::Draining,
    TargetState::Gone,
];
