//! An exchange with a caller, from its request to the end of the response.

use {
    super::{EntryNode, body::BodyError, hops::CallGuard, service::ChosenTarget},
    crate::Metrics,
    http::StatusCode,
    jujubeline_core::{Class, RefusalReason},
    jujubeline_overload::ExchangeEnd,
    std::{sync::Arc, time::Instant},
    tokio_util::task::task_tracker::TaskTrackerToken,
};

/// An exchange with a caller, from the request to the last byte of the response.
#[derive(Debug)]
pub struct EntryExchange {
    metrics: Arc<Metrics>,
    class: Class,
    started: Instant,
    chosen_target: Option<ChosenTarget>,
    /// Set when this exchange is a call made by the local target.
    pub(super) call: Option<CallGuard>,
    status: StatusCode,
    is_counted: bool,
    _in_flight: TaskTrackerToken,
}

impl EntryExchange {
    pub(super) fn start(node: &EntryNode, class: Class, started: Instant) -> Self {
        node.metrics.add_in_flight(class, 1);
        Self {
            metrics: Arc::clone(&node.metrics),
            class,
            started,
            chosen_target: None,
            call: None,
            status: StatusCode::OK,
            is_counted: false,
            _in_flight: node.exchanges.token(),
        }
    }

    pub(super) fn set_chosen_target(&mut self, chosen_target: ChosenTarget, status: StatusCode) {
        self.chosen_target = Some(chosen_target);
        self.status = status;
    }

    /// The response was read to its end.
    pub(super) fn complete(mut self) {
        self.is_counted = true;
        self.metrics
            .record_response(self.class, self.started.elapsed());
        // Other error statuses usually concern the request or a service further down the call chain, not this target.
        let failed = matches!(
            self.status,
            StatusCode::INTERNAL_SERVER_ERROR | StatusCode::BAD_GATEWAY
        );
        self.finish(if failed {
            ExchangeEnd::Failed
        } else {
            ExchangeEnd::Completed
        });
    }

    /// The response body ended before its last byte.
    pub(super) fn fail(mut self, error: &BodyError) {
        self.is_counted = true;
        let (reason, end) = match error {
            BodyError::CutShort(_) => (RefusalReason::AnswerCutShort, ExchangeEnd::Failed),
            BodyError::Deadline => (RefusalReason::Deadline, ExchangeEnd::TimedOut),
            BodyError::Cancelled => (RefusalReason::Cancelled, ExchangeEnd::Cancelled),
        };
        self.metrics.count_refusal(reason);
        self.finish(end);
    }

    /// The request was refused. [`EntryNode::serve`] counts the refusal, so it is not counted on drop.
    pub(super) fn refused(mut self) {
        self.is_counted = true;
    }

    fn finish(&mut self, end: ExchangeEnd) {
        if let Some(chosen_target) = self.chosen_target.take() {
            chosen_target.finish(end);
        }
    }
}

impl Drop for EntryExchange {
    fn drop(&mut self) {
        self.metrics.add_in_flight(self.class, -1);
        if !self.is_counted {
            self.metrics.count_refusal(RefusalReason::Cancelled);
        }
    }
}
