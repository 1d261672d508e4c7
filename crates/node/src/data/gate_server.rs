//! Serves requests of entry nodes, which arrive over HTTP/2.

use {
    super::{
        Gate, OutgoingBody, ResponseBody,
        buffered_body::{buffer_if_small, buffer_whole},
        forward_headers::take_context,
        gate::GateRefusal,
        load_report::load_value,
        problem::refusal_head,
        target_report_header::write_report,
    },
    http::{HeaderValue, Request, Response},
    hyper::body::Incoming,
    jujubeline_core::{NotRunProof, Refusal, RefusalReason, header_names as names},
    std::{sync::Arc, time::Instant},
};

/// Runs a request of an entry node at the gate. A refusal is sent in headers, without a body.
pub async fn serve_entry_node(
    gate: Arc<Gate>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    match run(&gate, request).await {
        Ok(response) => response,
        Err(refused) => refusal_response(&refused),
    }
}

async fn run(
    gate: &Arc<Gate>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, GateRefusal> {
    let (mut head, body) = request.into_parts();
    let refused = |reason, unused| {
        GateRefusal::new(Refusal::not_run(NotRunProof::RefusedByGate, reason), unused)
    };
    let context = take_context(&mut head.headers, Instant::now())
        .map_err(|_| refused(RefusalReason::BadRequest, 0))?;
    let body = if context.claim.is_some() {
        buffer_whole(body, context.deadline)
            .await
            .map(OutgoingBody::Whole)
    } else {
        buffer_if_small(body, context.deadline).await
    };
    let body = body.map_err(|reason| refused(reason, context.retries))?;
    gate.serve(head, body, &context).await
}

fn refusal_response(refused: &GateRefusal) -> Response<ResponseBody> {
    let mut response = refusal_head(&refused.refusal).map(|()| ResponseBody::empty());
    response.headers_mut().insert(
        names::RETRIES_UNUSED,
        HeaderValue::from(refused.retries_unused),
    );
    if let Some(level) = refused.level {
        response
            .headers_mut()
            .insert(names::LEVEL, HeaderValue::from(level.keys()));
    }
    if let Some(report) = &refused.report {
        write_report(response.headers_mut(), report);
    }
    if let Some(load) = &refused.load {
        response.headers_mut().insert(names::LOAD, load_value(load));
    }
    response
}
