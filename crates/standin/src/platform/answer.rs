//! Responses in the format of the object API.

use {
    super::store::{StoreError, StoredObject},
    bytes::Bytes,
    http::{Response, StatusCode, header},
    http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody},
    serde_json::{Value, json},
    std::convert::Infallible,
};

pub(super) type Body = UnsyncBoxBody<Bytes, Infallible>;

pub(super) fn json(status: StatusCode, value: &Value) -> Response<Body> {
    with_body(
        status,
        Full::new(Bytes::from(value.to_string())).boxed_unsync(),
    )
}

/// A response with a list, in which an entry given as JSON text comes first.
pub(super) fn json_with_entry(value: &Value, list: &str, entry: &str) -> Response<Body> {
    let rest = value[list]
        .as_array()
        .map_or("", |known| if known.is_empty() { "" } else { "," });
    let start = format!("\"{list}\":[");
    let text = value.to_string();
    let text = text.replacen(&start, &format!("{start}{entry}{rest}"), 1);
    with_body(StatusCode::OK, Full::new(Bytes::from(text)).boxed_unsync())
}

pub(super) fn error(status: StatusCode, message: &str) -> Response<Body> {
    json(status, &json!({ "error": message }))
}

pub(super) fn refused(refused: StoreError) -> Response<Body> {
    let (code, reason) = match refused {
        StoreError::AlreadyExists => (StatusCode::CONFLICT, "AlreadyExists"),
        StoreError::Conflict => (StatusCode::CONFLICT, "Conflict"),
        StoreError::NotFound => (StatusCode::NOT_FOUND, "NotFound"),
        StoreError::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "RequestEntityTooLarge"),
        StoreError::Full => (StatusCode::INSUFFICIENT_STORAGE, "InsufficientStorage"),
        StoreError::Expired => (StatusCode::GONE, "Expired"),
    };
    error(code, reason)
}

pub(super) fn object(stored: StoredObject) -> Value {
    let mut object = json!({
        "metadata": {
            "name": stored.name,
            "revision": stored.resource_version,
            "created": 0,
            "finalizers": [],
            "deleting": false,
        },
    });
    // Assigned rather than passed to `json!`, which would copy the value.
    object["spec"] = stored.value;
    object["status"] = Value::Null;
    object
}

pub(super) fn listing(objects: Vec<StoredObject>, more: bool, version: u64) -> Value {
    let mut listing = json!({ "more": more, "currentRev": version });
    listing["items"] = objects.into_iter().map(object).collect();
    listing
}

/// Adds the era of the store, which rises with each restore.
pub(super) fn with_era(mut response: Response<Body>, era: u64) -> Response<Body> {
    let headers = response.headers_mut();
    headers.insert("store-era", header::HeaderValue::from(era));
    response
}

fn with_body(status: StatusCode, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    response
}
