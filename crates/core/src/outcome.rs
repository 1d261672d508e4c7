//! What is known about the execution of a request.

use {
    crate::RefusalReason,
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Whether a request was executed by a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request was not executed. Only this outcome allows a retry of non-idempotent work.
    #[display("not_run")]
    NotRun,
    /// The request was executed.
    #[display("ran")]
    Ran,
    /// The request may or may not have been executed.
    #[display("unknown")]
    Unknown,
}

impl Outcome {
    /// Parses the value of the outcome header.
    #[must_use]
    pub fn from_label(label: &str) -> Option<Self> {
        match label {
            "not_run" => Some(Self::NotRun),
            "ran" => Some(Self::Ran),
            "unknown" => Some(Self::Unknown),
            _ => None,
        }
    }
}

/// Evidence that a request was not executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum NotRunProof {
    /// The request was invalid and had no usable idempotency key, so no earlier exchange can have run it.
    #[display("rejected_at_entry")]
    RejectedAtEntry,
    /// The request is idempotent or has no earlier exchange, and no byte of it was sent to a target.
    #[display("never_sent")]
    NeverSent,
    /// The gate recorded the refusal of this attempt, so a late copy cannot run.
    #[display("refused_by_gate")]
    RefusedByGate,
    /// The target stated with the outcome header that it did not run the request.
    #[display("refused_by_target")]
    RefusedByTarget,
    /// The owner of the claim shard holds complete records and none for the key.
    #[display("no_record_at_owner")]
    NoRecordAtOwner,
}

/// A negative answer to a caller or to another node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    outcome: Outcome,
    proof: Option<NotRunProof>,
    reason: RefusalReason,
    retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that was provably not executed.
    #[must_use]
    pub const fn not_run(proof: NotRunProof, reason: RefusalReason) -> Self {
        Self {
            outcome: Outcome::NotRun,
            proof: Some(proof),
            reason,
            retry_after: None,
        }
    }

    /// A refusal of a request that may have been executed.
    #[must_use]
    pub const fn unknown(reason: RefusalReason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            proof: None,
            reason,
            retry_after: None,
        }
    }

    /// A negative answer to a request that was executed, for example when its answer is no longer kept.
    #[must_use]
    pub const fn ran(reason: RefusalReason) -> Self {
        Self {
            outcome: Outcome::Ran,
            proof: None,
            reason,
            retry_after: None,
        }
    }

    /// Sets the time to wait before a retry.
    #[must_use]
    pub const fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Combines the refusal of the last attempt with the joint outcome of all earlier attempts: a refusal of the last
    /// attempt does not prove that no earlier one was executed.
    #[must_use]
    pub fn combined_with(self, earlier: Outcome) -> Self {
        if self.outcome != Outcome::NotRun || earlier == Outcome::NotRun {
            return self;
        }
        Self {
            outcome: earlier,
            proof: None,
            ..self
        }
    }

    /// Whether the request was executed, as far as is known.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// The proof of [`Outcome::NotRun`]; `None` for the other outcomes.
    #[must_use]
    pub const fn proof(&self) -> Option<NotRunProof> {
        self.proof
    }

    /// Why the request was refused.
    #[must_use]
    pub const fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// Time to wait before a retry, if the refusal states one.
    #[must_use]
    pub const fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}
