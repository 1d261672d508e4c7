//! Command-line flags and environment variables.

use bpaf::Bpaf;

/// Daemon that runs beside a target instance and routes requests to targets
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Runs the node beside one target instance
    #[bpaf(command("run"))]
    Run(#[bpaf(external(run_options), map(Box::new))] Box<RunOptions>),
    /// Runs two data centres with demonstration targets in one process
    #[bpaf(command("dev"))]
    Dev(#[bpaf(external(dev_options))] DevOptions),
}

// The values are kept as text: `settings::check` validates them together, so that every error names flag, variable and
// value.
/// Settings of a node
#[derive(Debug, Clone, Default, Bpaf)]
pub struct RunOptions {
    /// Name of the instance
    #[bpaf(long("node"), env("JUJUBELINE_NODE"), argument("NAME"))]
    pub node: Option<String>,
    /// Region of the instance
    #[bpaf(long("region"), env("JUJUBELINE_REGION"), argument("NAME"))]
    pub region: Option<String>,
    /// Data centre of the instance
    #[bpaf(long("data-centre"), env("JUJUBELINE_DATA_CENTRE"), argument("NAME"))]
    pub data_centre: Option<String>,
    /// Service of the target beside the node
    #[bpaf(long("service"), env("JUJUBELINE_SERVICE"), argument("NAME"))]
    pub service: Option<String>,
    /// Address of the target, until it announces another
    #[bpaf(
        long("target-address"),
        env("JUJUBELINE_TARGET_ADDRESS"),
        argument("ADDRESS")
    )]
    pub target_address: Option<String>,
    /// Maximum number of connections to the target, until it announces another number; default 256
    #[bpaf(
        long("target-connections"),
        env("JUJUBELINE_TARGET_CONNECTIONS"),
        argument("COUNT")
    )]
    pub target_connections: Option<String>,
    /// Requests that the target can run concurrently, until it announces another number; default 64
    #[bpaf(
        long("target-slots"),
        env("JUJUBELINE_TARGET_SLOTS"),
        argument("COUNT")
    )]
    pub target_slots: Option<String>,
    /// Address for callers
    #[bpaf(
        long("callers-address"),
        env("JUJUBELINE_CALLERS_ADDRESS"),
        argument("ADDRESS")
    )]
    pub callers_address: Option<String>,
    /// Address for HTTP/2 from other nodes
    #[bpaf(
        long("data-address"),
        env("JUJUBELINE_DATA_ADDRESS"),
        argument("ADDRESS")
    )]
    pub data_address: Option<String>,
    /// Address for control messages from other nodes, UDP and TCP
    #[bpaf(
        long("control-address"),
        env("JUJUBELINE_CONTROL_ADDRESS"),
        argument("ADDRESS")
    )]
    pub control_address: Option<String>,
    /// Address for HTTP/2 that is advertised to other nodes; default the data address
    #[bpaf(
        long("advertised-data-address"),
        env("JUJUBELINE_ADVERTISED_DATA_ADDRESS"),
        argument("ADDRESS")
    )]
    pub advertised_data_address: Option<String>,
    /// Address for control messages that is advertised to other nodes; default the control address
    #[bpaf(
        long("advertised-control-address"),
        env("JUJUBELINE_ADVERTISED_CONTROL_ADDRESS"),
        argument("ADDRESS")
    )]
    pub advertised_control_address: Option<String>,
    /// Address for operators and for the target's announcements
    #[bpaf(
        long("operators-address"),
        env("JUJUBELINE_OPERATORS_ADDRESS"),
        argument("ADDRESS")
    )]
    pub operators_address: Option<String>,
    /// Address of the platform's object API
    #[bpaf(
        long("platform-address"),
        env("JUJUBELINE_PLATFORM_ADDRESS"),
        argument("ADDRESS")
    )]
    pub platform_address: Option<String>,
    /// Control addresses, separated by commas, of nodes to join through when the platform is down
    #[bpaf(long("seed"), env("JUJUBELINE_SEED"), argument("ADDRESSES"))]
    pub seed: Option<String>,
    /// Additional address for readiness probes, which the operators' address always answers
    #[bpaf(
        long("ready-address"),
        env("JUJUBELINE_READY_ADDRESS"),
        argument("ADDRESS")
    )]
    pub ready_address: Option<String>,
    /// Protocol of callers and targets, and source of the catalogue: native (default) or platform
    #[bpaf(long("deployment"), env("JUJUBELINE_DEPLOYMENT"), argument("KIND"))]
    pub deployment: Option<String>,
    /// Maximum number of decision log lines per second on standard output, 0 for none; default 20
    #[bpaf(
        long("decision-lines-per-s"),
        env("JUJUBELINE_DECISION_LINES_PER_S"),
        argument("COUNT")
    )]
    pub decision_lines_per_s: Option<String>,
    /// Retries that all nodes together may send to a service, as a share of its requests; requires --retry-slack
    #[bpaf(long("retry-share"), env("JUJUBELINE_RETRY_SHARE"), argument("SHARE"))]
    pub retry_share: Option<String>,
    /// Retries per 10 s that all nodes together may send to a service beyond --retry-share, which is required as well
    #[bpaf(long("retry-slack"), env("JUJUBELINE_RETRY_SLACK"), argument("COUNT"))]
    pub retry_slack: Option<String>,
    /// Time, in milliseconds, that leaving the data centre must save a request to be worth its price; default 10
    #[bpaf(
        long("crossing-cost-ms"),
        env("JUJUBELINE_CROSSING_COST_MS"),
        argument("MS")
    )]
    pub crossing_cost_ms: Option<String>,
    /// Time, in seconds, from the stop signal until the node is killed; bounds the stop, including the notice to
    /// callers
    #[bpaf(
        long("kill-after-s"),
        env("JUJUBELINE_KILL_AFTER_S"),
        argument("SECONDS")
    )]
    pub kill_after_s: Option<String>,
    /// Longest time, in milliseconds, that a planned stop takes; default 30000, or a second less than --kill-after-s
    #[bpaf(
        long("stop-grace-ms"),
        env("JUJUBELINE_STOP_GRACE_MS"),
        argument("MILLISECONDS")
    )]
    pub stop_grace_ms: Option<String>,
}

/// Settings of the demonstration
#[derive(Debug, Clone, Bpaf)]
pub struct DevOptions {
    /// Address for callers of the first node
    #[bpaf(
        long("callers-address"),
        env("JUJUBELINE_CALLERS_ADDRESS"),
        argument("ADDRESS")
    )]
    pub callers_address: Option<String>,
    /// Address for operators of the first node
    #[bpaf(
        long("operators-address"),
        env("JUJUBELINE_OPERATORS_ADDRESS"),
        argument("ADDRESS")
    )]
    pub operators_address: Option<String>,
}
