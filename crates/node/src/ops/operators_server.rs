//! HTTP server at the operators' address.

use {
    super::{
        Announcement, Explanation, Status, TargetExplanation, WorkspaceExplanation,
        target_probe::{ProbeResponse, probe_target},
    },
    crate::{
        LocalTarget, NodeSettings, Views,
        data::{EntryNode, ResponseBody},
        metrics::Exporter,
    },
    bytes::Bytes,
    http::{HeaderValue, Method, Request, Response, StatusCode, Uri, header},
    http_body_util::{BodyExt, Limited},
    hyper::body::Incoming,
    jujubeline_catalogue::Entry,
    jujubeline_coordination::{HealthAnswer, NoticeEffect, membership::TargetState},
    jujubeline_core::Incarnation,
    serde::Serialize,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
};

/// Maximum size of an announcement's body.
const MAX_ANNOUNCEMENT_BYTES: usize = 4_096;
/// Time within which the body of an announcement must arrive.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after the start for which the node waits for a heartbeat before it probes the target itself. A target that
/// starts together with the node announces itself sooner.
const PROBE_DELAY: Duration = Duration::from_millis(100);

/// Time between the notice of an unconfirmed process and the health check that is to confirm it, doubled after each
/// check. Of several notices that arrive together, the last one decides what is asked.
const FIRST_CONFIRMATION_DELAY: Duration = Duration::from_millis(50);

/// Longest time between two health checks that are to confirm a process.
const MAX_CONFIRMATION_DELAY: Duration = Duration::from_secs(1);

/// Serves operators and the local target.
#[derive(Debug)]
pub struct OperatorsServer {
    settings: NodeSettings,
    incarnation: Incarnation,
    views: Views,
    entry: Arc<EntryNode>,
    exporter: Arc<Exporter>,
}

impl OperatorsServer {
    /// A server that reports on a running node and updates its local target.
    #[must_use]
    pub fn new(
        settings: NodeSettings,
        incarnation: Incarnation,
        views: Views,
        entry: Arc<EntryNode>,
        exporter: Arc<Exporter>,
    ) -> Self {
        Self {
            settings,
            incarnation,
            views,
            entry,
            exporter,
        }
    }

    /// Responds to a request of an operator or of the target.
    pub async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/metrics") => response(
                StatusCode::OK,
                "text/plain; version=0.0.4; charset=utf-8",
                self.exporter.render(),
            ),
            (&Method::GET, "/livez") => text(StatusCode::OK, "live"),
            (&Method::GET, "/readyz") => self.ready(),
            (&Method::GET, path) if path == self.settings.dialect.ready_path => self.ready(),
            (&Method::GET, "/status") => json(&self.status()),
            (&Method::GET, "/explain") => self.explain(request.uri()),
            (&Method::PUT, "/target") => self.announce(request).await,
            (_, "/metrics" | "/livez" | "/readyz" | "/status" | "/explain" | "/target") => text(
                StatusCode::METHOD_NOT_ALLOWED,
                "the method does not fit the path",
            ),
            (&Method::POST, _) => self.receive_notice(request).await,
            _ => text(
                StatusCode::NOT_FOUND,
                "paths: /metrics /livez /readyz /status /explain /target",
            ),
        }
    }

    fn ready(&self) -> Response<ResponseBody> {
        if self.entry.not_ready.is_cancelled() {
            return text(StatusCode::SERVICE_UNAVAILABLE, "draining");
        }
        if self.entry.routes.index().revision() == 0 {
            return text(StatusCode::SERVICE_UNAVAILABLE, "no catalogue yet");
        }
        text(StatusCode::OK, "ready")
    }

    fn status(&self) -> Status {
        self.views.revision_query.notify_one();
        Status {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            region: self.settings.region.clone(),
            data_centre: self.settings.data_centre.clone(),
            service: self.settings.service.clone(),
            target_state: self.views.local_target.borrow().state,
            catalogue_revision: self.entry.routes.index().revision(),
            members: Arc::clone(&self.views.members.borrow()),
        }
    }

    fn explain(&self, uri: &Uri) -> Response<ResponseBody> {
        let query = uri.query().unwrap_or_default();
        let value = |wanted: &str| {
            query
                .split('&')
                .filter_map(|part| part.split_once('='))
                .find(|(name, _)| *name == wanted)
                .map(|(_, value)| value.replace("%2F", "/").replace("%2f", "/"))
        };
        let (Some(method), Some(path)) = (value("method"), value("path")) else {
            return text(
                StatusCode::BAD_REQUEST,
                "the query needs method and path, for example ?method=GET&path=/x",
            );
        };
        let index = self.entry.routes.index();
        let host = value("host");
        let entry = index.find(host.as_deref(), &method, &path).cloned();
        let mut explanation = self.explanation(entry, &method, &path);
        if let Some(name) = value("workspace") {
            self.explain_workspace(&mut explanation, &name);
        }
        json(&explanation)
    }

    fn explain_workspace(&self, explanation: &mut Explanation, name: &str) {
        let index = self.entry.routes.index();
        let Some(workspace) = index.workspace(name) else {
            let problem = format!("no workspace {name:?} is in the catalogue");
            explanation.why.push(problem);
            return;
        };
        let entry = explanation.entry.as_deref();
        let allowances = self.entry.allowances.as_ref();
        let tokens = allowances.and_then(|tokens| tokens.tokens(name, Instant::now()));
        if workspace.allowance.is_some() && tokens == Some(0) {
            explanation.why.push(format!(
                "this node holds no token of {name}; it asks the owners of the shares with the next request"
            ));
        }
        explanation.workspace = Some(WorkspaceExplanation {
            name: workspace.name.clone(),
            priority: workspace.priority,
            class: entry.map(|entry| index.class_for(workspace, entry)),
            allowance: workspace.allowance,
            tokens,
        });
    }

    fn explanation(&self, entry: Option<Arc<Entry>>, method: &str, path: &str) -> Explanation {
        let now = Instant::now();
        let level = self.entry.gate.admission.level();
        let revision = self.entry.routes.index().revision();
        let mut why = Vec::new();
        let mut targets = Vec::new();
        match &entry {
            None => why.push(format!(
                "no entry of catalogue revision {revision} matches {method} {path}"
            )),
            Some(entry) => {
                why.push(format!(
                    "entry {} has the longest matching prefix {:?} in revision {revision}",
                    entry.name, entry.path_prefix
                ));
                targets = self.targets(entry, now);
                if targets.is_empty() {
                    why.push(format!("no target of service {} is known", entry.service));
                }
                if entry.at_most_once {
                    why.push(
                        "the owner of the key's shard names the gate; weights do not decide"
                            .to_owned(),
                    );
                }
            }
        }
        for target in &targets {
            if target.ejected {
                why.push(format!("{} is ejected after failures", target.node));
            } else if target.weight < 1.0 {
                why.push(format!(
                    "{} receives a share of {:.2} ({})",
                    target.node, target.weight, target.state
                ));
            }
        }
        let service = entry
            .as_ref()
            .and_then(|entry| self.entry.routes.service(&entry.service));
        let leaving_share = service.and_then(|service| service.leaving_share());
        if let Some(share) = leaving_share.filter(|share| *share > 0.0) {
            why.push(format!(
                "{:.0} % of the requests leave the data centre, because targets there have room sooner",
                share * 100.0
            ));
        }
        Explanation {
            entry,
            workspace: None,
            leaving_share,
            targets,
            admission_level: level.keys(),
            why,
        }
    }

    fn targets(&self, entry: &Entry, now: Instant) -> Vec<TargetExplanation> {
        let Some(service) = self.entry.routes.service(&entry.service) else {
            return Vec::new();
        };
        let statuses = service.describe_targets(now).into_iter();
        statuses
            .map(|(status, level, address)| TargetExplanation {
                address: address.or(self.views.local_target.borrow().address),
                node: status.node,
                data_centre: status.data_centre,
                state: status.state.to_string(),
                weight: status.weight,
                in_flight: status.in_flight,
                latency_ms: status
                    .latency
                    .map(|latency| latency.as_secs_f64() * 1_000.0),
                service_ms: status
                    .completion
                    .map(|completion| completion.service.as_secs_f64() * 1_000.0),
                wait_ms: status
                    .completion
                    .map(|completion| completion.wait.as_secs_f64() * 1_000.0),
                ejected: status.ejected,
                admission_level: level.keys(),
            })
            .collect()
    }

    async fn announce(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let Some(body) = read_announcement(request.into_body()).await else {
            return text(StatusCode::BAD_REQUEST, "the announcement is not readable");
        };
        let announced = match Announcement::read(&body) {
            Ok(announced) => announced,
            Err(why) => return response(StatusCode::BAD_REQUEST, TEXT, why.into_bytes()),
        };
        if self.entry.drain.is_cancelled() {
            return text(StatusCode::CONFLICT, "the node is draining");
        }
        let former = self.views.local_target.borrow().clone();
        let is_new = is_new_incarnation(&former, &announced);
        let tracker = &self.entry.gate.tracker;
        tracker.announce(&former, announced, is_new);
        text(StatusCode::OK, "noted")
    }

    /// Handles a target's notice in the deployment's own format.
    async fn receive_notice(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let (head, body) = request.into_parts();
        let Some(body) = read_announcement(body).await else {
            return text(StatusCode::BAD_REQUEST, "the announcement is not readable");
        };
        let read = (self.settings.dialect.read_notice)(&head.method, head.uri.path(), &body);
        let notice = match read {
            Some(Ok(notice)) => notice,
            Some(Err(why)) => {
                log::warn!("target notice at {} is ignored: {why}", head.uri.path());
                return response(StatusCode::BAD_REQUEST, TEXT, why.into_bytes());
            }
            None => return text(StatusCode::NOT_FOUND, "the call is not known"),
        };
        if self.settings.target_address.is_none() {
            return text(StatusCode::NOT_FOUND, "the node has no target");
        }
        let effect = self
            .entry
            .gate
            .tracker
            .apply_notice(&notice, Instant::now());
        match effect {
            // The health check that follows logs which process it is about.
            NoticeEffect::Taken { .. } | NoticeEffect::Unconfirmed => {}
            NoticeEffect::Kept | NoticeEffect::Outdated | NoticeEffect::Foreign => log::info!(
                "target notice changes nothing at present ({}): {notice:?}",
                effect.label()
            ),
        }
        json(&serde_json::json!({}))
    }

    /// Asks the target's health check which process runs: once if no heartbeat names it soon after the start, so that a
    /// node that was restarted beside a running target need not wait for the next one, and for each process that sent
    /// a notice and is not confirmed.
    pub async fn identify_target(self: Arc<Self>) {
        let Some(address) = self.settings.target_address else {
            return;
        };
        if self.settings.dialect.probe_process.is_none() {
            return;
        }
        let mut catalogue = self.views.catalogue.clone();
        let is_known = catalogue.wait_for(|catalogue| catalogue.revision() > 0);
        if is_known.await.is_err() {
            return;
        }
        sleep(PROBE_DELAY).await;
        let tracker = &self.entry.gate.tracker;
        if !tracker.knows_process()
            && let Some(path) = self.health_path()
            && let Some(answer) = self.check_target(address, &path).await
            && let Some(process) = answer.process.filter(|_| answer.is_healthy)
        {
            let slots = answer.slots.unwrap_or(self.settings.target_slots);
            tracker.record_healthy_process(&process, slots);
        }
        loop {
            tracker.unconfirmed.notified().await;
            self.confirm_target(address).await;
        }
    }

    /// Repeats the health check until no process is unconfirmed.
    async fn confirm_target(&self, address: SocketAddr) {
        let tracker = &self.entry.gate.tracker;
        let mut delay = FIRST_CONFIRMATION_DELAY;
        let mut last_asked = None;
        loop {
            sleep(delay).await;
            let Some(asked) = tracker.unconfirmed(Instant::now()) else {
                return;
            };
            if last_asked.as_ref() != Some(&asked) {
                log::info!(
                    "process {} of the target is not confirmed; its health check decides",
                    asked.process.id
                );
                last_asked = Some(asked.clone());
            }
            let answer = match self.health_path() {
                Some(path) => self.check_target(address, &path).await,
                // A target that has no health check cannot be asked.
                None => Some(ProbeResponse::unnamed_healthy()),
            };
            let answer = answer.map(|answer| HealthAnswer {
                process: answer.process,
                is_healthy: answer.is_healthy,
            });
            tracker.apply_health_answer(&asked, answer.as_ref());
            delay = (delay * 2).min(MAX_CONFIRMATION_DELAY);
        }
    }

    /// Path of the target's health check in the configuration in effect; none if it names no path.
    fn health_path(&self) -> Option<String> {
        let catalogue = self.views.catalogue.borrow();
        let limit = catalogue.service_limit(&self.settings.service)?;
        limit.health_path.clone()
    }

    async fn check_target(&self, address: SocketAddr, path: &str) -> Option<ProbeResponse> {
        probe_target(address, path, &self.settings.dialect).await
    }
}

async fn read_announcement(body: Incoming) -> Option<Bytes> {
    let body = Limited::new(body, MAX_ANNOUNCEMENT_BYTES).collect();
    let body = timeout(ANNOUNCEMENT_TIMEOUT, body).await.ok()?.ok()?;
    Some(body.to_bytes())
}

/// Whether an announcement comes from a process that started after the one of the former announcement.
fn is_new_incarnation(former: &LocalTarget, announced: &LocalTarget) -> bool {
    former.address != announced.address
        || former.state == TargetState::Gone
        || (former.state == TargetState::Ready && announced.state == TargetState::Cold)
}

const TEXT: &str = "text/plain; charset=utf-8";

fn text(status: StatusCode, sentence: &'static str) -> Response<ResponseBody> {
    response(status, TEXT, sentence.as_bytes().to_vec())
}

fn json(value: &impl Serialize) -> Response<ResponseBody> {
    match serde_json::to_vec(value) {
        Ok(body) => response(StatusCode::OK, "application/json", body),
        Err(_) => text(
            StatusCode::INTERNAL_SERVER_ERROR,
            "the response cannot be written as JSON",
        ),
    }
}

fn response(status: StatusCode, kind: &'static str, body: Vec<u8>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(Bytes::from(body)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}
