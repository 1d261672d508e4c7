//! Reads, writes and removes the headers that carry the context of a request between hops.

use {
    super::{
        ExchangeContext,
        claim_header::ClaimHeader,
        context::{RETURN_ALLOWANCE, remaining},
        target_report_header::{read_report, write_report},
    },
    http::{HeaderMap, HeaderName, HeaderValue, Uri, header},
    jujubeline_core::{Class, Dialect, HopId, ProcessId, RootId, header_names as names},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Connection-specific headers, which are not forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
    header::PROXY_AUTHORIZATION,
];

/// Headers that only nodes may set. They are removed from requests of callers and responses of targets.
const INTERNAL_HEADERS: [&str; 14] = [
    names::SERVICE,
    names::WORKSPACE,
    names::CALL,
    names::ALTERNATIVE,
    names::MAY_REPEAT,
    names::RETRIES,
    names::RETRIES_UNUSED,
    names::CLASS,
    names::ENTRY,
    names::CLAIM,
    names::LEVEL,
    names::REASON,
    names::OUTCOME,
    names::TARGET_REPORT,
];

/// A header of the request context that is missing or malformed.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("header {name} is malformed")]
pub struct MalformedHeader {
    /// Name of the header.
    pub name: String,
}

/// Context headers that a caller may set. Usually the caller is a target with a call of its own.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallerHeaders {
    /// Time that the caller still waits.
    pub remaining: Option<Duration>,
    /// Id of the root request.
    pub root: Option<RootId>,
    /// Id of the inbound exchange at the node of the calling target, on whose behalf the call is made.
    pub hop: Option<HopId>,
}

impl CallerHeaders {
    /// Reads the context headers of a caller's request. The value of a missing header is none.
    ///
    /// # Errors
    ///
    /// When a header is malformed.
    pub fn read(headers: &HeaderMap, dialect: &Dialect) -> Result<Self, MalformedHeader> {
        let remaining = parse(headers, dialect.deadline.as_str(), |text| text.parse().ok())?;
        let root = parse(headers, names::ROOT, |text| hex(text, 32))?;
        let hop = parse(headers, names::HOP, |text| hex(text, 16))?;
        Ok(Self {
            remaining: remaining.map(Duration::from_millis),
            root,
            hop: hop.and_then(|hop| u64::try_from(hop).ok()),
        })
    }
}

fn hex(text: &str, digits: usize) -> Option<u128> {
    (text.len() == digits).then(|| u128::from_str_radix(text, 16).ok())?
}

fn parse<T>(
    headers: &HeaderMap,
    name: &str,
    read: impl Fn(&str) -> Option<T>,
) -> Result<Option<T>, MalformedHeader> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let read = value.to_str().ok().and_then(read);
    read.map(Some).ok_or_else(|| malformed(name))
}

fn malformed(name: &str) -> MalformedHeader {
    MalformedHeader {
        name: name.to_owned(),
    }
}

/// Removes the headers of a caller's request that must not reach the next hop, and sets a missing `host` to the
/// authority of the URI.
pub fn clean_request(headers: &mut HeaderMap, uri: &Uri, dialect: &Dialect) {
    remove_hop_by_hop(headers);
    headers.remove(&dialect.deadline);
    headers.remove(&dialect.workspace_key);
    headers.remove(&dialect.workspace);
    if let Some(name) = &dialect.target_process {
        headers.remove(name);
    }
    for name in INTERNAL_HEADERS {
        headers.remove(name);
    }
    for name in [names::DEADLINE_MS, names::ROOT, names::HOP] {
        headers.remove(name);
    }
    if let Some(authority) = uri.authority()
        && !headers.contains_key(header::HOST)
        && let Ok(host) = HeaderValue::from_str(authority.as_str())
    {
        headers.insert(header::HOST, host);
    }
}

/// Removes the headers of a target's response that must not reach the entry node.
pub fn clean_target_response(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    for name in INTERNAL_HEADERS {
        headers.remove(name);
    }
}

/// Removes the headers that the gate adds to a response for the entry node.
pub fn clean_response_for_caller(headers: &mut HeaderMap) {
    for name in [
        names::RETRIES_UNUSED,
        names::LEVEL,
        names::REASON,
        names::LOAD,
        names::TARGET_REPORT,
    ] {
        headers.remove(name);
    }
}

fn remove_hop_by_hop(headers: &mut HeaderMap) {
    if let Some(listed) = headers.get(header::CONNECTION).cloned()
        && let Ok(listed) = listed.to_str()
    {
        for name in listed.split(',') {
            headers.remove(name.trim());
        }
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Adds the headers with the context that the gate reads.
pub fn write_context(headers: &mut HeaderMap, context: &ExchangeContext, now: Instant) {
    headers.insert(names::DEADLINE_MS, remaining_ms(context.deadline, now));
    headers.insert(names::ROOT, hex_value::<32>(context.root));
    headers.insert(
        names::CLASS,
        HeaderValue::from_static(context.class.label()),
    );
    headers.insert(names::RETRIES, HeaderValue::from(context.retries));
    if let Ok(service) = HeaderValue::from_str(&context.service) {
        headers.insert(names::SERVICE, service);
    }
    if let Some(workspace) = &context.workspace
        && let Ok(workspace) = HeaderValue::from_str(workspace)
    {
        headers.insert(names::WORKSPACE, workspace);
    }
    if context.is_call {
        headers.insert(names::CALL, HeaderValue::from_static("1"));
    }
    if context.has_alternative {
        headers.insert(names::ALTERNATIVE, HeaderValue::from_static("1"));
    }
    if context.may_repeat {
        headers.insert(names::MAY_REPEAT, HeaderValue::from_static("1"));
    }
    if let Some(report) = &context.report {
        write_report(headers, report);
    }
    if let Some(claim) = context.claim {
        claim.write(headers);
    }
    if let Ok(entry) = HeaderValue::from_str(&context.entry) {
        headers.insert(names::ENTRY, entry);
    }
}

/// Adds the headers that the target reads, and those that it copies to its own calls. The deadline header is set later,
/// when the request is sent.
pub fn write_target_context(
    headers: &mut HeaderMap,
    dialect: &Dialect,
    context: &ExchangeContext,
    hop: HopId,
    process: Option<&ProcessId>,
) {
    if dialect.propagates_exchange_headers {
        headers.insert(names::ROOT, hex_value::<32>(context.root));
        headers.insert(names::HOP, hex_value::<16>(u128::from(hop)));
    }
    if let Some(workspace) = &context.workspace
        && let Ok(workspace) = HeaderValue::from_str(workspace)
    {
        headers.insert(dialect.workspace.clone(), workspace);
    }
    if let (Some(name), Some(process)) = (&dialect.target_process, process)
        && let Ok(process) = HeaderValue::from_str(process)
    {
        headers.insert(name.clone(), process);
    }
}

/// Header value with the time left before a deadline in milliseconds, minus the allowance for the return path.
pub fn remaining_ms(deadline: Instant, now: Instant) -> HeaderValue {
    let remaining_ms = u64::try_from(remaining(deadline, now).as_millis()).unwrap_or(u64::MAX);
    HeaderValue::from(remaining_ms)
}

fn hex_value<const DIGITS: usize>(number: u128) -> HeaderValue {
    let mut text = [b'0'; DIGITS];
    let mut rest = number;
    for digit in text.iter_mut().rev() {
        // The remainder is below 16, so it fits.
        *digit = b"0123456789abcdef"[(rest % 16) as usize];
        rest /= 16;
    }
    HeaderValue::from_bytes(&text).unwrap_or(HeaderValue::from_static("0"))
}

/// Reads the context that an entry node sent, and removes the headers that must not reach the target.
///
/// # Errors
///
/// When a header is missing or malformed.
pub fn take_context(
    headers: &mut HeaderMap,
    now: Instant,
) -> Result<ExchangeContext, MalformedHeader> {
    let caller = CallerHeaders::read(headers, &Dialect::default())?;
    let class = parse(headers, names::CLASS, |text| text.parse::<Class>().ok())?;
    let retries = parse(headers, names::RETRIES, |text| text.parse().ok())?;
    let entry = parse(headers, names::ENTRY, |text| Some(Arc::from(text)))?;
    let service = parse(headers, names::SERVICE, |text| Some(Arc::from(text)))?;
    let workspace = parse(headers, names::WORKSPACE, |text| Some(Arc::from(text)))?;
    let claim = parse(headers, names::CLAIM, ClaimHeader::parse)?;
    let missing = malformed;
    let context = ExchangeContext {
        deadline: now
            + caller
                .remaining
                .ok_or_else(|| missing(names::DEADLINE_MS))?
            + RETURN_ALLOWANCE,
        root: caller.root.ok_or_else(|| missing(names::ROOT))?,
        class: class.ok_or_else(|| missing(names::CLASS))?,
        entry: entry.ok_or_else(|| missing(names::ENTRY))?,
        service: service.ok_or_else(|| missing(names::SERVICE))?,
        workspace,
        is_call: headers.contains_key(names::CALL),
        may_repeat: headers.contains_key(names::MAY_REPEAT),
        has_alternative: headers.contains_key(names::ALTERNATIVE),
        retries: retries.ok_or_else(|| missing(names::RETRIES))?,
        claim,
        report: read_report(headers),
    };
    for name in INTERNAL_HEADERS {
        headers.remove(name);
    }
    Ok(context)
}
