//! Long-polling responses to watches.

use {
    super::{
        answer::{self, Body},
        faults::Outage,
        server::State,
        service::Closed,
        store::{Action, StoreError},
    },
    http::{Response, StatusCode},
    serde_json::{Value, json},
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::{Instant, timeout_at},
};

/// Guard that counts a watch as pending until it is dropped.
struct PendingWatch<'a>(&'a State);

impl<'a> PendingWatch<'a> {
    fn new(state: &'a State) -> Self {
        state
            .counters
            .pending_watches
            .fetch_add(1, Ordering::SeqCst);
        Self(state)
    }
}

impl Drop for PendingWatch<'_> {
    fn drop(&mut self) {
        self.0
            .counters
            .pending_watches
            .fetch_sub(1, Ordering::SeqCst);
    }
}

/// Responds with the changes after a version as soon as there is one, or with none when the wait has elapsed.
pub(super) async fn answer(
    state: &Arc<State>,
    kind: &str,
    from: u64,
    wait: Duration,
) -> Result<Response<Body>, Closed> {
    let _pending = PendingWatch::new(state);
    let ends_at = Instant::now() + wait;
    let start_generation = state.lock().watch_generation;
    let mut changed = state.changed.subscribe();
    loop {
        changed.mark_unchanged();
        let silent = {
            let inner = state.lock();
            let down = matches!(inner.faults.down, Outage::Unavailable | Outage::Closed);
            if down || inner.watch_generation != start_generation || inner.stopping {
                return Err(Closed);
            }
            inner.faults.silent_watches || inner.faults.down == Outage::Silent
        };
        if !silent {
            match events(state, kind, from) {
                Err(refused) => return Ok(answer::refused(refused)),
                Ok((events, version)) if !events.is_empty() || Instant::now() >= ends_at => {
                    let body = json!({ "events": events, "currentRev": version });
                    let odd_object = state.lock().faults.odd_object.clone();
                    if !odd_object.is_empty() && !events.is_empty() {
                        let event = format!(r#"{{"deleted":false,"object":{odd_object}}}"#);
                        return Ok(answer::json_with_entry(&body, "events", &event));
                    }
                    return Ok(answer::json(StatusCode::OK, &body));
                }
                Ok(_) => {}
            }
        }
        if silent {
            let _ = changed.changed().await;
        } else {
            let _ = timeout_at(ends_at, changed.changed()).await;
        }
    }
}

fn events(state: &State, kind: &str, from: u64) -> Result<(Vec<Value>, u64), StoreError> {
    let inner = state.lock();
    let changes = inner.store.changes_after(kind, from)?;
    let events = changes
        .into_iter()
        .map(|change| {
            json!({
                "deleted": change.action == Action::Deleted,
                "object": answer::object(change.stored),
            })
        })
        .collect();
    Ok((events, inner.store.version()))
}
