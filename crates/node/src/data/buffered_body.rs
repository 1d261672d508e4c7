//! Buffers request and response bodies up to a maximum length.

use {
    super::{OutgoingBody, ResponseBody, body::BodyError, fingerprint::FINGERPRINT_BYTES},
    bytes::{Bytes, BytesMut},
    http::Response,
    http_body::Body,
    http_body_util::{BodyExt, Limited},
    hyper::body::Incoming,
    jujubeline_core::{Refusal, RefusalReason},
    std::{future::Future, time::Instant},
    tokio::{task::unconstrained, time::timeout_at},
};

/// Longest request body that is buffered so that it can be sent again.
pub const MAX_REPLAY_BYTES: u64 = 64 * 1024;
/// Longest response to an idempotent request that is buffered, so that the request can be retried when the response
/// breaks off.
const MAX_RETRIABLE_RESPONSE_BYTES: u64 = 64 * 1024;
/// Longest body of a request or response of at-most-once work. The request body must be complete before the key is
/// claimed, and the response is kept for repeats.
pub const MAX_AT_MOST_ONCE_BYTES: usize = 1024 * 1024;

/// Buffers a body whose declared length is at most [`MAX_REPLAY_BYTES`]. Of other bodies only the start is read, by which
/// a request is recognised; the rest is streamed.
///
/// # Errors
///
/// `cancelled` when the sender disconnected, `deadline` when the bytes did not arrive in time.
pub async fn buffer_if_small(
    body: Incoming,
    deadline: Instant,
) -> Result<OutgoingBody, RefusalReason> {
    if body.is_end_stream() {
        return Ok(OutgoingBody::Whole(Bytes::new()));
    }
    match body.size_hint().exact() {
        Some(length) if length <= MAX_REPLAY_BYTES => {
            read(body, deadline).await.map(OutgoingBody::Whole)
        }
        _ => until_deadline(deadline, read_start(body)).await?,
    }
}

/// Reads the bytes by which a request is recognised. A body that ends within them is whole.
async fn read_start(mut body: Incoming) -> Result<OutgoingBody, RefusalReason> {
    let mut start = BytesMut::new();
    while start.len() < FINGERPRINT_BYTES {
        let Some(frame) = body.frame().await else {
            return Ok(OutgoingBody::Whole(start.freeze()));
        };
        let frame = frame.map_err(|_| RefusalReason::Cancelled)?;
        // Trailers follow the last byte.
        let Ok(data) = frame.into_data() else {
            return Ok(OutgoingBody::Whole(start.freeze()));
        };
        start.extend_from_slice(&data);
    }
    Ok(OutgoingBody::Streamed {
        start: start.freeze(),
        rest: body,
    })
}

/// Buffers a response whose declared length is at most [`MAX_RETRIABLE_RESPONSE_BYTES`]. Other responses are passed on.
///
/// # Errors
///
/// A refusal with an unknown outcome when the body broke off.
pub async fn buffer_small_response(
    response: Response<ResponseBody>,
) -> Result<Response<ResponseBody>, Refusal> {
    let is_small = (response.body().size_hint().exact())
        .is_some_and(|length| length <= MAX_RETRIABLE_RESPONSE_BYTES);
    if !is_small || response.body().is_end_stream() {
        return Ok(response);
    }
    let (head, body) = response.into_parts();
    match body.collect().await {
        Ok(collected) => Ok(Response::from_parts(
            head,
            ResponseBody::full(collected.to_bytes()),
        )),
        Err(error) => Err(Refusal::unknown(match error {
            BodyError::CutShort(_) => RefusalReason::AnswerCutShort,
            BodyError::Deadline => RefusalReason::Deadline,
            BodyError::Cancelled => RefusalReason::Cancelled,
        })),
    }
}

/// Reads the request body of at-most-once work in full.
///
/// # Errors
///
/// `too_large`, `cancelled` when the sender disconnected, or `deadline` when the body did not arrive in time.
pub async fn buffer_whole(body: Incoming, deadline: Instant) -> Result<Bytes, RefusalReason> {
    if body.size_hint().lower() > MAX_AT_MOST_ONCE_BYTES as u64 {
        return Err(RefusalReason::TooLarge);
    }
    let read = Limited::new(body, MAX_AT_MOST_ONCE_BYTES).collect();
    match until_deadline(deadline, read).await? {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(RefusalReason::TooLarge)
        }
        Err(_) => Err(RefusalReason::Cancelled),
    }
}

async fn read(body: Incoming, deadline: Instant) -> Result<Bytes, RefusalReason> {
    match until_deadline(deadline, body.collect()).await? {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(_) => Err(RefusalReason::Cancelled),
    }
}

/// Waits for bytes of a body. The deadline holds also if reading the connection uses up the budget of the task, as it does
/// while the sender is faster than the node.
async fn until_deadline<T>(
    deadline: Instant,
    reading: impl Future<Output = T>,
) -> Result<T, RefusalReason> {
    unconstrained(timeout_at(deadline.into(), reading))
        .await
        .map_err(|_| RefusalReason::Deadline)
}
