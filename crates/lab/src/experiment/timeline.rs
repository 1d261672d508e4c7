//! Records of the root requests of an experiment, and the goodput and recovery time computed from them.

use {super::Phases, jujubeline_core::Class, std::time::Duration};

/// Width of the bins in which goodput is counted.
const BIN: Duration = Duration::from_millis(100);

/// Number of successive bins over which goodput is averaged to decide whether it has recovered.
const WINDOW_BINS: usize = 5;

/// Share of the goodput before the trigger at which goodput counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;

/// A root request. All times are offsets from the start of the experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestRecord {
    /// Class that the caller assigned to the request.
    pub class: Class,
    /// Time at which the request arrived at the caller and was due to be sent.
    pub sent_at: Duration,
    /// Time at which the complete answer arrived; `None` if it did not arrive within the deadline.
    pub answered_at: Option<Duration>,
    /// Number of times that the caller sent the request, including the first; 0 if it was never sent.
    pub sends: u32,
}

/// All root requests of an experiment.
#[derive(Debug, Clone)]
pub struct Timeline {
    records: Vec<RequestRecord>,
    phases: Phases,
}

impl Timeline {
    /// Creates a timeline from the records of all requests, in any order.
    #[must_use]
    pub const fn new(records: Vec<RequestRecord>, phases: Phases) -> Self {
        Self { records, phases }
    }

    /// Records in the order in which they were passed to [`Timeline::new`].
    #[must_use]
    pub fn records(&self) -> &[RequestRecord] {
        &self.records
    }

    /// Complete answers a second in each bin of 100 ms, by the time at which they arrived.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // Counts of requests stay far below 2^52.
    pub fn goodput_per_s(&self) -> Vec<f64> {
        let mut bins = vec![0_u32; bin_index(self.phases.end()) + 1];
        for at in self.records.iter().filter_map(|record| record.answered_at) {
            if let Some(bin) = bins.get_mut(bin_index(at)) {
                *bin += 1;
            }
        }
        bins.into_iter()
            .map(|count| f64::from(count) / BIN.as_secs_f64())
            .collect()
    }

    /// Mean goodput from `from` up to, but not including, `to`.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // Counts of requests stay far below 2^52.
    pub fn mean_goodput_per_s(&self, from: Duration, to: Duration) -> f64 {
        let answers = self.records.iter().filter_map(|record| record.answered_at);
        let count = answers.filter(|at| (from..to).contains(at)).count();
        count as f64 / to.saturating_sub(from).as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Mean goodput between the end of the warm-up and the start of the trigger.
    #[must_use]
    pub fn goodput_before_per_s(&self) -> f64 {
        let from = Duration::from_millis(self.phases.warm_up_ms);
        self.mean_goodput_per_s(from, self.phases.trigger_start())
    }

    /// Mean goodput during the trigger, without its first second, in which limits adapt.
    #[must_use]
    pub fn goodput_during_per_s(&self) -> f64 {
        let from = self.phases.trigger_start() + Duration::from_secs(1);
        self.mean_goodput_per_s(
            from.min(self.phases.trigger_end()),
            self.phases.trigger_end(),
        )
    }

    /// Time from the end of the trigger until goodput, averaged over half a second, is back at 95 % of its value before
    /// the trigger, if that happens within the experiment.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // The window is a small constant.
    pub fn recovery(&self) -> Option<Duration> {
        let wanted = self.goodput_before_per_s() * RECOVERED_SHARE;
        let bins = self.goodput_per_s();
        let first = bin_index(self.phases.trigger_end());
        let last = bin_index(self.phases.end());
        (first..last.saturating_sub(WINDOW_BINS))
            .find(|start| {
                let window = &bins[*start..start + WINDOW_BINS];
                window.iter().sum::<f64>() / WINDOW_BINS as f64 >= wanted
            })
            .map(|start| BIN * u32::try_from(start - first).unwrap_or(u32::MAX))
    }

    /// Number of requests of a class that arrived from `from` up to, but not including, `to`, and how many of them were
    /// answered.
    #[must_use]
    pub fn sent_and_answered(&self, class: Class, from: Duration, to: Duration) -> (u64, u64) {
        let of_class = self
            .records
            .iter()
            .filter(|record| record.class == class && (from..to).contains(&record.sent_at));
        of_class.fold((0, 0), |(sent, answered), record| {
            (sent + 1, answered + u64::from(record.answered_at.is_some()))
        })
    }
}

fn bin_index(at: Duration) -> usize {
    usize::try_from(at.as_millis() / BIN.as_millis()).unwrap_or(usize::MAX)
}
