//! Parsing and validation of the settings.

use {
    crate::{
        error::{DaemonError, DaemonResult},
        options::RunOptions,
    },
    error_stack::Report,
    jujubeline_core::{Dialect, Peer, Step, StepError},
    jujubeline_node::{CatalogueSource, NodeSettings},
    jujubeline_overload::{DEFAULT_CROSSING_COST, FleetRetryLimits},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Connections to the target when neither the setting nor the target says otherwise.
const DEFAULT_CONNECTIONS: u32 = 256;
/// Slots of the target when neither the setting nor the target says otherwise.
const DEFAULT_SLOTS: u32 = 64;
/// Decision log lines per second: at about 400 bytes a line, 8 KB/s of the 10 KB/s that a node may use for control.
const DEFAULT_DECISION_LINES: u32 = 20;
/// Grace time of a planned stop when neither `stop-grace-ms` nor `kill-after-s` is given.
const DEFAULT_STOP_GRACE_MS: u32 = 30_000;
/// Longest time for which a stopping node still serves new requests while it reports that it is not ready; at most half
/// of `kill-after-s`, and 0 without that setting. The platform probes readiness once a second and sends no new callers
/// after two failed probes.
const LEAVE_NOTICE: Duration = Duration::from_millis(2_500);
/// Part of the platform's grace time (`kill-after-s`) that is reserved for closing connections and for announcing that
/// the node leaves.
const STOP_RESERVE: Duration = Duration::from_secs(1);
/// Longest grace time: one hour.
const MAX_STOP_GRACE_MS: u32 = 3_600_000;
/// Highest value of a setting that may have a fractional part.
const MAX_FRACTION: f64 = 86_400.0;
/// Highest number of connections or slots.
const MAX_COUNT: u32 = 65_536;
/// Longest name of an instance, region, data centre or service; names travel in datagrams of 1,200 bytes.
const MAX_NAME_BYTES: usize = 64;
/// Maximum number of seeds, the nodes to join through.
const MAX_SEEDS: usize = 16;

/// Parses and validates the settings of a node.
///
/// # Errors
///
/// When a setting is missing or invalid. The report names flag, variable and value of the first such setting.
pub fn check(options: &RunOptions) -> DaemonResult<NodeSettings> {
    let (dialect, catalogue_source) = deployment(options.deployment.as_ref())?;
    let kill_after =
        fraction("kill-after-s", options.kill_after_s.as_ref())?.map(Duration::from_secs_f64);
    let settings = NodeSettings {
        node: name("node", options.node.as_ref())?,
        region: name("region", options.region.as_ref())?,
        data_centre: name("data-centre", options.data_centre.as_ref())?,
        service: name("service", options.service.as_ref())?,
        target_address: optional_address("target-address", options.target_address.as_ref())?,
        target_connections: count(
            "target-connections",
            options.target_connections.as_ref(),
            DEFAULT_CONNECTIONS,
            MAX_COUNT,
        )?,
        target_slots: count(
            "target-slots",
            options.target_slots.as_ref(),
            DEFAULT_SLOTS,
            MAX_COUNT,
        )?,
        callers_address: address("callers-address", options.callers_address.as_ref())?,
        data_address: node_address("data-address", options.data_address.as_ref())?,
        control_address: node_address("control-address", options.control_address.as_ref())?,
        advertised_data_address: advertised(
            "advertised-data-address",
            options.advertised_data_address.as_ref(),
        )?,
        advertised_control_address: advertised(
            "advertised-control-address",
            options.advertised_control_address.as_ref(),
        )?,
        operators_address: address("operators-address", options.operators_address.as_ref())?,
        platform_address: optional_address("platform-address", options.platform_address.as_ref())?,
        seeds: seeds(options.seed.as_ref())?,
        ready_address: optional_address("ready-address", options.ready_address.as_ref())?,
        dialect: Arc::new(dialect),
        catalogue_source,
        decision_lines_per_s: lines(options.decision_lines_per_s.as_ref())?,
        retry_limits: retry_limits(options)?,
        crossing_cost: crossing_cost(options.crossing_cost_ms.as_ref())?,
        leave_notice: kill_after.map_or(Duration::ZERO, |kill_after| {
            LEAVE_NOTICE.min(kill_after / 2)
        }),
        stop_grace: match (&options.stop_grace_ms, kill_after) {
            (None, Some(kill_after)) => kill_after.saturating_sub(STOP_RESERVE),
            (grace_ms, _) => Duration::from_millis(u64::from(count(
                "stop-grace-ms",
                grace_ms.as_ref(),
                DEFAULT_STOP_GRACE_MS,
                MAX_STOP_GRACE_MS,
            )?)),
        },
    };
    check_distinct_addresses(&settings)?;
    Ok(settings)
}

/// Returns the protocol of callers and targets and the source of the catalogue for a kind of deployment.
fn deployment(value: Option<&String>) -> DaemonResult<(Dialect, CatalogueSource)> {
    match value.map_or("native", String::as_str) {
        "native" => Ok((Dialect::default(), CatalogueSource::ChangeLog)),
        "platform" => Ok((
            jujubeline_platform::dialect(),
            CatalogueSource::Configuration,
        )),
        other => Err(invalid("deployment", other, "expected native or platform")),
    }
}

/// Fleet-wide retry limits. They take effect only as a pair, so one without the other is an error.
fn retry_limits(options: &RunOptions) -> DaemonResult<Option<FleetRetryLimits>> {
    let share = fraction("retry-share", options.retry_share.as_ref())?;
    let slack = fraction("retry-slack", options.retry_slack.as_ref())?;
    match (share, slack) {
        (Some(share), Some(slack)) => Ok(Some(FleetRetryLimits { share, slack })),
        (None, None) => Ok(None),
        (Some(_), None) => Err(missing("retry-slack")),
        (None, Some(_)) => Err(missing("retry-share")),
    }
}

/// Time that a request must save by leaving the data centre.
fn crossing_cost(value: Option<&String>) -> DaemonResult<Duration> {
    let cost_ms = fraction("crossing-cost-ms", value)?;
    Ok(cost_ms.map_or(DEFAULT_CROSSING_COST, |cost_ms| {
        Duration::from_secs_f64(cost_ms / 1_000.0)
    }))
}

fn fraction(flag: &'static str, value: Option<&String>) -> DaemonResult<Option<f64>> {
    value
        .map(|text| {
            text.parse()
                .ok()
                .filter(|number| (0.0..=MAX_FRACTION).contains(number))
                .ok_or_else(|| {
                    let explanation = format!("expected a number from 0 to {MAX_FRACTION}");
                    invalid(flag, text, &explanation)
                })
        })
        .transpose()
}

/// Parses the value of a setting as an IP address with a port; `None` if no value is given.
///
/// # Errors
///
/// When the value is not an IP address with a port.
pub fn optional_address(
    flag: &'static str,
    value: Option<&String>,
) -> DaemonResult<Option<SocketAddr>> {
    value
        .map(|text| {
            text.parse().map_err(|_| {
                invalid(
                    flag,
                    text,
                    "expected an IP address with a port, for example 127.0.0.1:7400",
                )
            })
        })
        .transpose()
}

fn address(flag: &'static str, value: Option<&String>) -> DaemonResult<SocketAddr> {
    optional_address(flag, value)?.ok_or_else(|| missing(flag))
}

/// Listening address that other nodes connect to.
fn node_address(flag: &'static str, value: Option<&String>) -> DaemonResult<SocketAddr> {
    require_specific_ip(flag, address(flag, value)?)
}

/// Address that is advertised to other nodes; `None` stands for the listening address.
fn advertised(flag: &'static str, value: Option<&String>) -> DaemonResult<Option<SocketAddr>> {
    let Some(address) = optional_address(flag, value)? else {
        return Ok(None);
    };
    if address.port() == 0 {
        return Err(invalid(
            flag,
            &address.to_string(),
            "other nodes connect to this address, so it must name a port",
        ));
    }
    require_specific_ip(flag, address).map(Some)
}

/// Rejects the unspecified addresses `0.0.0.0` and `::`, to which other nodes cannot connect.
fn require_specific_ip(flag: &'static str, address: SocketAddr) -> DaemonResult<SocketAddr> {
    if address.ip().is_unspecified() {
        return Err(invalid(
            flag,
            &address.to_string(),
            "other nodes connect to this address, so it must name one interface",
        ));
    }
    Ok(address)
}

fn name(flag: &'static str, value: Option<&String>) -> DaemonResult<Arc<str>> {
    let text = value.ok_or_else(|| missing(flag))?;
    let is_valid = !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    if !is_valid {
        return Err(invalid(
            flag,
            text,
            "expected 1 to 64 letters, digits, '-', '_' or '.'",
        ));
    }
    Ok(Arc::from(text.as_str()))
}

fn count(
    flag: &'static str,
    value: Option<&String>,
    default: u32,
    highest: u32,
) -> DaemonResult<u32> {
    let Some(text) = value else {
        return Ok(default);
    };
    text.parse()
        .ok()
        .filter(|count| (1..=highest).contains(count))
        .ok_or_else(|| {
            invalid(
                flag,
                text,
                &format!("expected a whole number from 1 to {highest}"),
            )
        })
}

/// Number of decision log lines per second; unlike other counts, 0 is valid and turns the log off.
fn lines(value: Option<&String>) -> DaemonResult<u32> {
    let flag = "decision-lines-per-s";
    match value.map(String::as_str) {
        Some("0") => Ok(0),
        _ => count(flag, value, DEFAULT_DECISION_LINES, MAX_COUNT),
    }
}

fn seeds(value: Option<&String>) -> DaemonResult<Vec<SocketAddr>> {
    let Some(text) = value else {
        return Ok(Vec::new());
    };
    let parsed: Result<Vec<_>, _> = text.split(',').map(|part| part.trim().parse()).collect();
    parsed
        .ok()
        .filter(|seeds| seeds.len() <= MAX_SEEDS)
        .ok_or_else(|| {
            invalid(
                "seed",
                text,
                "expected up to 16 IP addresses with ports, separated by commas",
            )
        })
}

/// Checks that the callers', data, operators' and control addresses differ, except where the port is 0. Binding the
/// second of two equal addresses would fail with an error that names no setting.
fn check_distinct_addresses(settings: &NodeSettings) -> DaemonResult<()> {
    let addresses = [
        ("callers-address", settings.callers_address),
        ("data-address", settings.data_address),
        ("operators-address", settings.operators_address),
        ("control-address", settings.control_address),
    ];
    for (index, (flag, address)) in addresses.iter().enumerate() {
        let same = addresses[..index]
            .iter()
            .find(|(_, other)| other == address);
        if let Some((other, _)) = same.filter(|_| address.port() != 0) {
            return Err(invalid(
                flag,
                &address.to_string(),
                &format!("the address is used by --{other} as well"),
            ));
        }
    }
    Ok(())
}

fn missing(flag: &'static str) -> Report<DaemonError> {
    report(flag, "no value is given and there is no default".to_owned())
}

fn invalid(flag: &'static str, value: &str, explanation: &str) -> Report<DaemonError> {
    report(flag, format!("value {value:?} is not valid: {explanation}"))
}

fn report(flag: &'static str, detail: String) -> Report<DaemonError> {
    let variable = flag.to_uppercase().replace('-', "_");
    let setting = Peer::Setting(format!("--{flag} / JUJUBELINE_{variable}"));
    Report::new(StepError::new(Step::Settings, setting, detail))
        .change_context(DaemonError::Settings)
}
