//! Handlers of the object API and of the stand-in's own paths for faults and counters.

use {
    super::{
        answer::{self, Body},
        faults::{Faults, Outage},
        server::State,
        store::{MAX_VALUE_BYTES, StoreError, StoredObject},
        watch,
    },
    bytes::Bytes,
    derive_more::{Display, Error},
    http::{Method, Request, Response, StatusCode},
    http_body_util::{BodyExt, Limited},
    hyper::body::{Body as _, Incoming},
    serde::{Deserialize, de::DeserializeOwned},
    serde_json::Value,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Maximum size of a request body: one value and its envelope.
const MAX_BODY_BYTES: usize = MAX_VALUE_BYTES + 64 * 1_024;

/// Maximum number of objects in one page of a list.
const PAGE_OBJECTS: usize = 500;

/// Upper bound on the time that a watch waits for a change, in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;

const OBJECTS_PREFIX: &str = "/api/objects/";

/// Error that makes the server close the connection without a response, as a fault requires.
#[derive(Debug, Display, Error)]
#[display("connection closed by a fault")]
pub(super) struct Closed;

#[derive(Debug, Default, Deserialize)]
struct Metadata {
    #[serde(default)]
    name: String,
    revision: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct WireObject {
    metadata: Metadata,
    spec: Value,
}

/// A call of the object API.
#[derive(Debug)]
enum Call {
    Get(String),
    /// Objects in order of name, starting after the given name.
    List(Option<String>),
    /// Changes after the given version, and the longest time to wait for one.
    Watch(u64, Duration),
    Create(String, Value),
    Update(String, Option<u64>, Value),
    Delete(String, Option<u64>),
}

impl Call {
    const fn writes(&self) -> bool {
        matches!(self, Self::Create(..) | Self::Update(..) | Self::Delete(..))
    }
}

/// Handles one HTTP request.
pub(super) async fn answer(
    state: Arc<State>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Closed> {
    let (parts, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return Ok(answer::refused(StoreError::TooLarge));
    };
    let body = body.to_bytes();
    let path = parts.uri.path();
    let response = match path.strip_prefix(OBJECTS_PREFIX) {
        Some(rest) => {
            let query = parts.uri.query().unwrap_or_default();
            match parse(&parts.method, rest, query, &body) {
                Ok((kind, call)) => {
                    let response = object_call(&state, &kind, call).await?;
                    answer::with_era(response, state.lock().restores + 1)
                }
                Err(problem) => answer::error(StatusCode::BAD_REQUEST, &problem),
            }
        }
        None => control_call(&state, &parts.method, path, &body),
    };
    let bytes = response.body().size_hint().exact().unwrap_or_default();
    state
        .counters
        .body_bytes
        .fetch_add(bytes, Ordering::Relaxed);
    Ok(response)
}

/// Handles the stand-in's own paths: `GET /faults`, `PUT /faults` and `GET /counts`.
fn control_call(state: &State, method: &Method, path: &str, body: &Bytes) -> Response<Body> {
    match (method, path) {
        (&Method::GET, "/faults") => {
            answer::json(StatusCode::OK, &serde_json::json!(state.lock().faults))
        }
        (&Method::PUT, "/faults") => match from_json::<Faults>(body) {
            Ok(faults) => {
                state.set_faults(faults);
                answer::json(StatusCode::OK, &serde_json::json!(state.lock().faults))
            }
            Err(problem) => answer::error(StatusCode::BAD_REQUEST, &problem),
        },
        (&Method::GET, "/counts") => answer::json(
            StatusCode::OK,
            &serde_json::json!(state.counters.snapshot()),
        ),
        _ => answer::refused(StoreError::NotFound),
    }
}

async fn object_call(state: &Arc<State>, kind: &str, call: Call) -> Result<Response<Body>, Closed> {
    state.counters.calls.fetch_add(1, Ordering::SeqCst);
    match call {
        Call::Get(_) | Call::List(_) => state.counters.reads.fetch_add(1, Ordering::SeqCst),
        Call::Watch(..) => 0,
        _ => state.counters.writes.fetch_add(1, Ordering::SeqCst),
    };
    let slow_ms = state.lock().faults.slow_ms;
    tokio::time::sleep(Duration::from_millis(slow_ms)).await;
    let down = state.lock().faults.down;
    match down {
        Outage::No => {}
        Outage::Unavailable => {
            return Ok(answer::error(StatusCode::SERVICE_UNAVAILABLE, "down"));
        }
        Outage::Closed => return Err(Closed),
        Outage::Silent => return std::future::pending().await,
    }
    let writes = call.writes();
    if writes && take(&mut state.lock().faults.drop_next) {
        return Err(Closed);
    }
    let response = match call {
        Call::Watch(from, wait) => watch::answer(state, kind, from, wait).await?,
        call => apply_call(state, kind, call),
    };
    let late_ms = state.lock().faults.late_ms;
    tokio::time::sleep(Duration::from_millis(late_ms)).await;
    if writes && loses_response(state) {
        return Err(Closed);
    }
    Ok(response)
}

fn apply_call(state: &Arc<State>, kind: &str, call: Call) -> Response<Body> {
    let result = {
        let mut inner = state.lock();
        let read_at = inner
            .store
            .version()
            .saturating_sub(inner.faults.stale_versions);
        let odd_object = inner.faults.odd_object.clone();
        let store = &mut inner.store;
        match call {
            Call::List(after) => {
                let mut objects = store.list(kind, read_at);
                objects.retain(|object| after.as_ref().is_none_or(|after| object.name > *after));
                let more = objects.len() > PAGE_OBJECTS;
                objects.truncate(PAGE_OBJECTS);
                let listing = answer::listing(objects, more, read_at);
                if odd_object.is_empty() {
                    return answer::json(StatusCode::OK, &listing);
                }
                return answer::json_with_entry(&listing, "items", &odd_object);
            }
            Call::Get(name) => store.get(kind, &name, read_at).ok_or(StoreError::NotFound),
            Call::Create(name, value) => store.create(kind, &name, value),
            Call::Update(name, expected, value) => store.update(kind, &name, expected, value),
            Call::Delete(name, expected) => store.delete(kind, &name, expected),
            Call::Watch(..) => Err(StoreError::Expired),
        }
    };
    state.changed.send_modify(|changes| *changes += 1);
    respond(result)
}

fn respond(result: Result<StoredObject, StoreError>) -> Response<Body> {
    match result {
        Ok(stored) => answer::json(StatusCode::OK, &answer::object(stored)),
        Err(refused) => answer::refused(refused),
    }
}

/// Counts a write and returns whether a fault suppresses its response.
fn loses_response(state: &State) -> bool {
    let mut inner = state.lock();
    inner.writes += 1;
    let every = inner.faults.lose_every;
    let lost = every > 0 && inner.writes.is_multiple_of(every);
    take(&mut inner.faults.lose_next) || lost
}

/// Decrements the counter of a fault. Returns whether it was above zero.
const fn take(count: &mut u64) -> bool {
    if *count == 0 {
        return false;
    }
    *count -= 1;
    true
}

fn parse(method: &Method, path: &str, query: &str, body: &Bytes) -> Result<(String, Call), String> {
    let (kind, name) = match path.split_once('/') {
        Some((kind, name)) => (kind, Some(name.to_owned())),
        None => (path, None),
    };
    let call = match (method, name) {
        (&Method::GET, Some(name)) => Call::Get(name),
        (&Method::GET, None) => match number(query, "watch")? {
            Some(from) => {
                let wait_ms = number(query, "waitMs")?.unwrap_or_default();
                Call::Watch(from, Duration::from_millis(wait_ms.min(MAX_WAIT_MS)))
            }
            None => Call::List(parameter(query, "after").map(ToOwned::to_owned)),
        },
        (&Method::POST, None) => {
            let object: WireObject = from_json(body)?;
            Call::Create(object.metadata.name, object.spec)
        }
        (&Method::PUT, Some(name)) => {
            let object: WireObject = from_json(body)?;
            Call::Update(name, object.metadata.revision, object.spec)
        }
        (&Method::DELETE, Some(name)) => Call::Delete(name, number(query, "revision")?),
        (method, name) => return Err(format!("{method} of object {name:?} is not supported")),
    };
    Ok((kind.to_owned(), call))
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

fn number(query: &str, name: &str) -> Result<Option<u64>, String> {
    parameter(query, name)
        .map(|text| {
            text.parse()
                .map_err(|_| format!("{name} {text:?} is not a number"))
        })
        .transpose()
}

fn from_json<T: DeserializeOwned>(body: &Bytes) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}
