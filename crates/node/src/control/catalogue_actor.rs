//! The actor that owns the catalogue in effect.

use {
    super::error::{ControlError, ControlResult, report},
    crate::CatalogueView,
    jujubeline_catalogue::{
        CatalogueState, Change, Difference, Entry, LoggedChange, ServiceLimit, StateError,
        Workspace,
    },
    jujubeline_core::{Peer, Revision, Step},
    kameo::{
        Actor,
        actor::{ActorRef, Spawn},
        error::SendError,
        mailbox,
        message::{Context, Message},
    },
    std::sync::Arc,
    tokio::sync::watch,
};

/// Capacity of the actor's mailbox; senders wait while it is full.
const MAILBOX_MESSAGES: usize = 256;

/// Owns the catalogue in effect and publishes each new state.
#[derive(Actor)]
pub(super) struct CatalogueActor {
    state: CatalogueState,
    view: watch::Sender<Arc<CatalogueState>>,
}

/// Applies the change that follows the revision in effect.
struct Apply(Change);

/// Applies the change from the platform that follows the revision in effect. An invalid one only raises the revision.
struct Advance(LoggedChange);

/// Applies the difference between this node and a peer or the snapshot.
struct Merge(Difference);

/// Replaces all entries, limits of services and workspaces by those of a higher revision.
struct Replace(
    Revision,
    Vec<Entry>,
    Vec<ServiceLimit>,
    Option<Vec<Workspace>>,
);

impl CatalogueActor {
    fn publish(&self) -> Revision {
        self.view.send_replace(Arc::new(self.state.clone()));
        self.state.revision()
    }
}

impl Message<Apply> for CatalogueActor {
    type Reply = Result<Revision, StateError>;

    async fn handle(&mut self, message: Apply, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.state.apply(&message.0)?;
        Ok(self.publish())
    }
}

impl Message<Advance> for CatalogueActor {
    type Reply = Result<Revision, StateError>;

    async fn handle(
        &mut self,
        message: Advance,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        if let Some(problem) = self.state.apply_or_skip(&message.0)? {
            let revision = message.0.revision;
            log::warn!("catalogue change {revision} is invalid and without effect: {problem}");
        }
        Ok(self.publish())
    }
}

impl Message<Merge> for CatalogueActor {
    type Reply = Result<Revision, StateError>;

    async fn handle(&mut self, message: Merge, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.state.merge(&message.0)?;
        Ok(self.publish())
    }
}

impl Message<Replace> for CatalogueActor {
    type Reply = Result<Revision, StateError>;

    async fn handle(
        &mut self,
        message: Replace,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let Replace(revision, entries, services, workspaces) = message;
        self.state
            .replace_with_workspaces(revision, &entries, &services, workspaces.as_deref())?;
        Ok(self.publish())
    }
}

/// Access to the catalogue in effect. Clones share one actor.
#[derive(Debug, Clone)]
pub struct CatalogueHandle {
    actor: ActorRef<CatalogueActor>,
    view: CatalogueView,
}

impl CatalogueHandle {
    /// Starts the actor with an initial catalogue.
    pub(super) fn start(state: CatalogueState) -> Self {
        let (sender, view) = watch::channel(Arc::new(state.clone()));
        let actor = CatalogueActor::spawn_with_mailbox(
            CatalogueActor {
                state,
                view: sender,
            },
            mailbox::bounded(MAILBOX_MESSAGES),
        );
        Self { actor, view }
    }

    /// Applies the change that follows the revision in effect and returns the new revision.
    ///
    /// # Errors
    ///
    /// When the change does not follow the revision in effect, is too large, or the control plane has stopped.
    pub async fn apply(&self, change: Change) -> ControlResult<Revision> {
        self.actor.ask(Apply(change)).await.map_err(into_report)
    }

    /// Applies the change from the platform that follows the revision in effect. An invalid one only raises the
    /// revision.
    pub(super) async fn apply_or_skip(&self, logged: LoggedChange) -> ControlResult<Revision> {
        self.actor.ask(Advance(logged)).await.map_err(into_report)
    }

    /// Replaces all entries, limits of services and workspaces by those of a higher revision.
    ///
    /// # Errors
    ///
    /// When the revision is not higher, an entry or a workspace is invalid, or the control plane has stopped.
    pub(super) async fn replace(
        &self,
        revision: Revision,
        entries: Vec<Entry>,
        services: Vec<ServiceLimit>,
        workspaces: Option<Vec<Workspace>>,
    ) -> ControlResult<Revision> {
        self.actor
            .ask(Replace(revision, entries, services, workspaces))
            .await
            .map_err(into_report)
    }

    /// Applies a difference and returns the new revision.
    ///
    /// # Errors
    ///
    /// When the difference does not lead to a higher revision, is too large, or the control plane has stopped.
    pub async fn merge(&self, difference: Difference) -> ControlResult<Revision> {
        self.actor.ask(Merge(difference)).await.map_err(into_report)
    }

    /// The difference between this revision and the one in effect.
    #[must_use]
    pub fn since(&self, revision: Revision) -> Difference {
        let state = Arc::clone(&self.view.borrow());
        state.changes_since(revision)
    }

    /// The view of the catalogue in effect.
    #[must_use]
    pub fn view(&self) -> CatalogueView {
        self.view.clone()
    }

    /// Stops the actor after the messages in its mailbox, and waits for its end.
    pub(super) async fn stop(&self) {
        // An error means that the actor has ended already.
        let _ = self.actor.stop_gracefully().await;
        self.actor.wait_for_shutdown().await;
    }
}

fn into_report<M, E: std::fmt::Display>(
    error: SendError<M, E>,
) -> error_stack::Report<ControlError> {
    match error {
        SendError::HandlerError(cause) => report(
            ControlError::Catalogue,
            Step::Catalogue,
            Peer::Local,
            cause.to_string(),
        ),
        _ => report(
            ControlError::Stopped,
            Step::Catalogue,
            Peer::Local,
            "the catalogue actor does not run",
        ),
    }
}
