//! Reasons for refusals and retries. Metrics count each reason separately.

use derive_more::Display;

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display("{}", self.label())]
pub enum RefusalReason {
    /// The request or one of its headers is malformed.
    BadRequest,
    /// The kind of request needs an idempotency key and none was given.
    KeyMissing,
    /// The idempotency key was used before with another request.
    KeyReused,
    /// No catalogue entry matches the method and path.
    NoEntry,
    /// The request needs the key of a workspace and has none.
    WorkspaceKeyMissing,
    /// The request has more than one key of a workspace, or one that cannot be read.
    WorkspaceKeyMalformed,
    /// No workspace holds the key.
    WorkspaceKeyUnknown,
    /// The request without a key names an exchange that is not in flight at this node.
    ParentUnknown,
    /// The allowance of the workspace is used up.
    WorkspaceAllowance,
    /// No owner of the allowance of the workspace answers.
    AllowanceUnknown,
    /// No target of the service is known.
    NoTarget,
    /// The node has no catalogue yet.
    NoCatalogue,
    /// The catalogue entry could not be read in full, so its requests are refused.
    EntryUnreadable,
    /// The deadline has passed or would pass before an answer.
    Deadline,
    /// The caller disconnected before it received an answer.
    Cancelled,
    /// The admission level of the service excludes the request.
    AdmissionLevel,
    /// The target's concurrency limit is reached and its queue cannot take the request.
    ConcurrencyLimit,
    /// The catalogue entry's own concurrency limit is reached.
    EntryLimit,
    /// The queue in front of the target is full.
    QueueFull,
    /// The request waited in the queue for longer than allowed.
    QueueTimeout,
    /// The request has crashed several targets.
    Quarantined,
    /// The target or its node is draining.
    Draining,
    /// The target shed the request.
    TargetShed,
    /// The target or its node cannot be reached.
    TargetUnreachable,
    /// The answer ended before it was complete.
    AnswerCutShort,
    /// The status of the answer is none that HTTP knows.
    AnswerInvalid,
    /// The target states a limit on the rate of requests, and it is used up.
    TargetRateLimit,
    /// The connection stalled: it stayed open and carried no data.
    ConnectionStalled,
    /// An earlier request with the same key is still running.
    InProgress,
    /// Records of the key's shard were lost, so an earlier execution cannot be excluded.
    RecordsIncomplete,
    /// The takeover of the key's shard is not complete.
    FenceIncomplete,
    /// The claim was made under an epoch that has been fenced off.
    StaleEpoch,
    /// The owner of the key's shard cannot be reached.
    OwnerUnreachable,
    /// The request was sent and its outcome cannot be determined.
    OutcomeLost,
    /// The request ran and its answer is no longer kept.
    AnswerExpired,
    /// The request body exceeds the buffer for replayable requests.
    TooLarge,
    /// The owner's or gate's table of claim records is full.
    RecordsFull,
    /// An unexpected error in the node.
    Internal,
}

impl RefusalReason {
    /// All reasons, in the order of the counters.
    pub const ALL: [Self; 38] = [
        Self::BadRequest,
        Self::KeyMissing,
        Self::KeyReused,
        Self::NoEntry,
        Self::WorkspaceKeyMissing,
        Self::WorkspaceKeyMalformed,
        Self::WorkspaceKeyUnknown,
        Self::ParentUnknown,
        Self::WorkspaceAllowance,
        Self::AllowanceUnknown,
        Self::NoTarget,
        Self::NoCatalogue,
        Self::EntryUnreadable,
        Self::Deadline,
        Self::Cancelled,
        Self::AdmissionLevel,
        Self::ConcurrencyLimit,
        Self::EntryLimit,
        Self::QueueFull,
        Self::QueueTimeout,
        Self::Quarantined,
        Self::Draining,
        Self::TargetShed,
        Self::TargetUnreachable,
        Self::AnswerCutShort,
        Self::AnswerInvalid,
        Self::TargetRateLimit,
        Self::ConnectionStalled,
        Self::InProgress,
        Self::RecordsIncomplete,
        Self::FenceIncomplete,
        Self::StaleEpoch,
        Self::OwnerUnreachable,
        Self::OutcomeLost,
        Self::AnswerExpired,
        Self::TooLarge,
        Self::RecordsFull,
        Self::Internal,
    ];

    /// Stable name, used in metrics and problem details.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::KeyMissing => "key_missing",
            Self::KeyReused => "key_reused",
            Self::NoEntry => "no_entry",
            Self::WorkspaceKeyMissing => "workspace_key_missing",
            Self::WorkspaceKeyMalformed => "workspace_key_malformed",
            Self::WorkspaceKeyUnknown => "workspace_key_unknown",
            Self::ParentUnknown => "parent_unknown",
            Self::WorkspaceAllowance => "workspace_allowance",
            Self::AllowanceUnknown => "allowance_unknown",
            Self::NoTarget => "no_target",
            Self::NoCatalogue => "no_catalogue",
            Self::EntryUnreadable => "entry_unreadable",
            Self::Deadline => "deadline",
            Self::Cancelled => "cancelled",
            Self::AdmissionLevel => "admission_level",
            Self::ConcurrencyLimit => "concurrency_limit",
            Self::EntryLimit => "entry_limit",
            Self::QueueFull => "queue_full",
            Self::QueueTimeout => "queue_timeout",
            Self::Quarantined => "quarantined",
            Self::Draining => "draining",
            Self::TargetShed => "target_shed",
            Self::TargetUnreachable => "target_unreachable",
            Self::AnswerCutShort => "answer_cut_short",
            Self::AnswerInvalid => "answer_invalid",
            Self::TargetRateLimit => "target_rate_limit",
            Self::ConnectionStalled => "connection_stalled",
            Self::InProgress => "in_progress",
            Self::RecordsIncomplete => "records_incomplete",
            Self::FenceIncomplete => "fence_incomplete",
            Self::StaleEpoch => "stale_epoch",
            Self::OwnerUnreachable => "owner_unreachable",
            Self::OutcomeLost => "outcome_lost",
            Self::AnswerExpired => "answer_expired",
            Self::TooLarge => "too_large",
            Self::RecordsFull => "records_full",
            Self::Internal => "internal",
        }
    }

    /// Parses a label; `None` when no reason has it.
    #[must_use]
    pub fn from_label(label: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.label() == label)
    }

    /// HTTP status of the refusal towards callers.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::KeyMissing => 400,
            Self::WorkspaceKeyMissing | Self::WorkspaceKeyMalformed | Self::WorkspaceKeyUnknown => {
                401
            }
            Self::NoEntry => 404,
            Self::InProgress => 409,
            Self::AnswerExpired => 410,
            Self::TooLarge => 413,
            Self::KeyReused => 422,
            Self::EntryLimit | Self::WorkspaceAllowance => 429,
            Self::Cancelled => 499,
            Self::Internal => 500,
            Self::TargetUnreachable
            | Self::AnswerCutShort
            | Self::AnswerInvalid
            | Self::OutcomeLost => 502,
            Self::ParentUnknown
            | Self::AllowanceUnknown
            | Self::NoTarget
            | Self::NoCatalogue
            | Self::EntryUnreadable
            | Self::AdmissionLevel
            | Self::ConcurrencyLimit
            | Self::QueueFull
            | Self::QueueTimeout
            | Self::Quarantined
            | Self::Draining
            | Self::TargetShed
            | Self::TargetRateLimit
            | Self::RecordsIncomplete
            | Self::FenceIncomplete
            | Self::StaleEpoch
            | Self::OwnerUnreachable
            | Self::RecordsFull => 503,
            Self::Deadline | Self::ConnectionStalled => 504,
        }
    }

    /// Human-readable sentence, used as the title of problem details.
    #[must_use]
    pub const fn title(self) -> &'static str {
        match self {
            Self::BadRequest => "The request or one of its headers is malformed.",
            Self::KeyMissing => "The kind of request needs an idempotency key and none was given.",
            Self::KeyReused => "The idempotency key was used before with another request.",
            Self::NoEntry => "No catalogue entry matches the method and path.",
            Self::WorkspaceKeyMissing => "The request needs the key of a workspace.",
            Self::WorkspaceKeyMalformed => {
                "The request has several keys of a workspace, or one that cannot be read."
            }
            Self::WorkspaceKeyUnknown => "No workspace holds the key of the request.",
            Self::ParentUnknown => {
                "The request has no key and belongs to no exchange that is in flight here."
            }
            Self::WorkspaceAllowance => "The allowance of the workspace is used up.",
            Self::AllowanceUnknown => "No owner of the allowance of the workspace answers.",
            Self::NoTarget => "No target of the service is known.",
            Self::NoCatalogue => "The node has no catalogue yet.",
            Self::EntryUnreadable => "The catalogue entry of this kind of request cannot be read.",
            Self::Deadline => "The deadline has passed or would pass before an answer.",
            Self::Cancelled => "The caller went away.",
            Self::AdmissionLevel => "The admission level of the service excludes the request.",
            Self::ConcurrencyLimit => {
                "The target's concurrency limit is reached and its queue cannot take the request."
            }
            Self::EntryLimit => "The catalogue entry's own concurrency limit is reached.",
            Self::QueueFull => "The queue before the target is full.",
            Self::QueueTimeout => "The request waited in the queue for longer than allowed.",
            Self::Quarantined => "The request has crashed several targets.",
            Self::Draining => "The target or its node is leaving.",
            Self::TargetShed => "The target shed the request.",
            Self::TargetUnreachable => "The target or its node cannot be reached.",
            Self::AnswerCutShort => "The answer ended before it was complete.",
            Self::AnswerInvalid => "The answer has a status that HTTP does not know.",
            Self::TargetRateLimit => "The target accepts no more requests per second.",
            Self::ConnectionStalled => "The connection went silent.",
            Self::InProgress => "An earlier request with the same key is still running.",
            Self::RecordsIncomplete => {
                "Records of the key's shard were lost, so an earlier execution cannot be excluded."
            }
            Self::FenceIncomplete => "The takeover of the key's shard is not complete.",
            Self::StaleEpoch => "The claim was made under an epoch that has been fenced off.",
            Self::OwnerUnreachable => "The owner of the key's shard cannot be reached.",
            Self::OutcomeLost => "The request was sent and its outcome cannot be determined.",
            Self::AnswerExpired => "The request ran and its answer is no longer kept.",
            Self::RecordsFull => "The table of claim records is full.",
            Self::TooLarge => "The request body exceeds the buffer for replayable requests.",
            Self::Internal => "An unexpected error in the node.",
        }
    }
}

/// Why a request was sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display("{}", self.label())]
pub enum RetryReason {
    /// No connection could be opened, so nothing was sent.
    ConnectFailed,
    /// The gate refused with a proven not-run outcome.
    RefusedNotRun,
    /// The target stated that it shed the request.
    TargetShed,
    /// The connection stalled while an idempotent request waited for its answer.
    ConnectionStalled,
    /// The answer of an idempotent request was lost or cut short.
    AnswerLost,
    /// The target crashed while it ran an idempotent request.
    TargetCrashed,
    /// The peer is draining and refused new work.
    PeerDraining,
}

impl RetryReason {
    /// All reasons, in the order of the counters.
    pub const ALL: [Self; 7] = [
        Self::ConnectFailed,
        Self::RefusedNotRun,
        Self::TargetShed,
        Self::ConnectionStalled,
        Self::AnswerLost,
        Self::TargetCrashed,
        Self::PeerDraining,
    ];

    /// Stable name, used in metrics and problem details.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect_failed",
            Self::RefusedNotRun => "refused_not_run",
            Self::TargetShed => "target_shed",
            Self::ConnectionStalled => "connection_stalled",
            Self::AnswerLost => "answer_lost",
            Self::TargetCrashed => "target_crashed",
            Self::PeerDraining => "peer_draining",
        }
    }

    /// Parses a label; `None` when no reason has it.
    #[must_use]
    pub fn from_label(label: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.label() == label)
    }
}

/// Why a failed request was not sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display("{}", self.label())]
pub enum RetryStop {
    /// The retry allowance of the root request is spent.
    AllowanceSpent,
    /// The retry budget of the node for the service is spent.
    BudgetSpent,
    /// A retry could not finish before the deadline.
    DeadlineTooClose,
    /// The work is not idempotent and may have run.
    OutcomeNotProven,
}

impl RetryStop {
    /// All reasons, in the order of the counters.
    pub const ALL: [Self; 4] = [
        Self::AllowanceSpent,
        Self::BudgetSpent,
        Self::DeadlineTooClose,
        Self::OutcomeNotProven,
    ];

    /// Stable name, used in metrics and problem details.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::AllowanceSpent => "allowance_spent",
            Self::BudgetSpent => "budget_spent",
            Self::DeadlineTooClose => "deadline_too_close",
            Self::OutcomeNotProven => "outcome_not_proven",
        }
    }

    /// Parses a label; `None` when no reason has it.
    #[must_use]
    pub fn from_label(label: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.label() == label)
    }
}
