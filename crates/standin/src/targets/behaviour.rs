//! Behaviour of the target stand-in for one request, as the query of the request asks for it.

use std::time::Duration;

/// Fault that the stand-in injects into a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The body ends before its declared length.
    CutLength,
    /// A chunked body ends without its last chunk.
    CutChunked,
    /// The body has no declared length and ends with the connection.
    Undeclared,
    /// The process of the stand-in exits.
    Crash,
    /// The connection stays open without a response.
    Silent,
    /// The request is refused with status 503 and the header `jujubeline-outcome: not_run`.
    Shed,
}

/// Behaviour of the stand-in for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Behaviour {
    /// Time that the request occupies a slot.
    pub service: Duration,
    /// Size of the response body, in bytes.
    pub body_bytes: usize,
    /// Fault to inject.
    pub fault: Option<Fault>,
    /// Paths that the target calls before it responds.
    pub calls: Vec<String>,
}

impl Behaviour {
    /// Reads `service_ms`, `service_us`, `bytes`, `fault` and `call` (repeatable) from a query. Unknown parameters
    /// are ignored. `service` is the service time if the query states none.
    #[must_use]
    pub fn from_query(query: &str, service: Duration) -> Self {
        let mut behaviour = Self {
            service,
            body_bytes: 16,
            fault: None,
            calls: Vec::new(),
        };
        for (name, value) in query.split('&').filter_map(|part| part.split_once('=')) {
            behaviour.set(name, value);
        }
        behaviour
    }

    fn set(&mut self, name: &str, value: &str) {
        let number = value.parse::<u64>().ok();
        match (name, number) {
            ("service_ms", Some(ms)) => self.service = Duration::from_millis(ms),
            ("service_us", Some(us)) => self.service = Duration::from_micros(us),
            ("bytes", Some(bytes)) => self.body_bytes = usize::try_from(bytes).unwrap_or(0),
            ("fault", _) => self.fault = fault(value),
            ("call", _) => self
                .calls
                .push(value.replace("%3F", "?").replace("%26", "&")),
            _ => {}
        }
    }
}

fn fault(name: &str) -> Option<Fault> {
    match name {
        "cut" => Some(Fault::CutLength),
        "cut_chunked" => Some(Fault::CutChunked),
        "undeclared" => Some(Fault::Undeclared),
        "crash" => Some(Fault::Crash),
        "silent" => Some(Fault::Silent),
        "shed" => Some(Fault::Shed),
        _ => None,
    }
}
