//! A deployment of the platform stand-in and several instances.

use {
    super::{EntryPlan, Instance, InstancePlan, catalogue_file::catalogue_toml},
    crate::{
        load::{Call, Connection},
        process::{Process, ProcessError, binary_path},
    },
    serde_json::Value,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{process::Command, time::sleep},
};

/// Maximum time until every node sees all ready targets and a catalogue.
const READY_TIMEOUT: Duration = Duration::from_mins(1);

/// Pause between two polls of a node's status.
const POLL_PAUSE: Duration = Duration::from_millis(50);

/// A deployment to start.
#[derive(Debug, Clone, Default)]
pub struct DeploymentPlan {
    /// Instances in the order in which they start.
    pub instances: Vec<InstancePlan>,
    /// Entries of the catalogue, which is applied before the instances start.
    pub entries: Vec<EntryPlan>,
}

/// A running deployment. Its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    /// The platform stand-in.
    pub platform: Process,
    /// Address of the platform stand-in.
    pub platform_address: SocketAddr,
    /// Instances in the order of the plan.
    pub instances: Vec<Instance>,
}

impl Deployment {
    /// Starts all processes, applies the catalogue and waits as in [`Self::wait_until_ready`].
    ///
    /// # Errors
    ///
    /// When a process does not start, the catalogue is rejected or a node is not ready in time.
    pub async fn start(plan: DeploymentPlan) -> Result<Self, ProcessError> {
        let deployment = Self::start_without_waiting(plan).await?;
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Starts all processes and applies the catalogue, but does not wait until the nodes have discovered each other.
    ///
    /// # Errors
    ///
    /// When a process does not start or the catalogue is rejected.
    pub async fn start_without_waiting(plan: DeploymentPlan) -> Result<Self, ProcessError> {
        let platform = Process::start("jujubeline-standin", &["platform".to_owned()]).await?;
        let platform_address = platform.address("address")?;
        apply_catalogue(platform_address, &plan.entries).await?;
        let mut instances = Vec::new();
        for instance in plan.instances {
            instances.push(Instance::start(instance, platform_address).await?);
        }
        Ok(Self {
            platform,
            platform_address,
            instances,
        })
    }

    /// Callers' addresses of the instances of a service.
    #[must_use]
    pub fn caller_addresses(&self, service: &str) -> Vec<SocketAddr> {
        self.instances
            .iter()
            .filter(|instance| instance.plan.service == service)
            .map(|instance| instance.addresses.callers)
            .collect()
    }

    /// Waits until every node has a catalogue and lists exactly as many alive members with a ready or cold target as
    /// there are instances that run a target.
    ///
    /// # Errors
    ///
    /// When a node is not ready in time.
    pub async fn wait_until_ready(&self) -> Result<(), ProcessError> {
        let until = Instant::now() + READY_TIMEOUT;
        for instance in &self.instances {
            while !self.is_ready(instance.addresses.operators).await {
                if Instant::now() > until {
                    return Err(ProcessError {
                        name: instance.plan.name.clone(),
                        detail: "timed out waiting for the node to see all ready targets and a catalogue".to_owned(),
                    });
                }
                sleep(POLL_PAUSE).await;
            }
        }
        Ok(())
    }

    /// Waits until every node has a catalogue and lists exactly this number of live members.
    ///
    /// # Errors
    ///
    /// When a node does not reach this state in time.
    pub async fn wait_for_members(
        &self,
        wanted: usize,
        within: Duration,
    ) -> Result<(), ProcessError> {
        let until = Instant::now() + within;
        for instance in &self.instances {
            loop {
                let seen = node_status(instance.addresses.operators)
                    .await
                    .unwrap_or_default();
                let members = seen["members"].as_array();
                let alive = members.into_iter().flatten();
                let alive = alive.filter(|member| member["presence"] == "alive").count();
                if alive == wanted && seen["catalogue_revision"].as_u64() > Some(0) {
                    break;
                }
                if Instant::now() > until {
                    return Err(ProcessError {
                        name: instance.plan.name.clone(),
                        detail: format!(
                            "timed out with {alive} of {wanted} live members or without a catalogue"
                        ),
                    });
                }
                sleep(POLL_PAUSE).await;
            }
        }
        Ok(())
    }

    async fn is_ready(&self, operators: SocketAddr) -> bool {
        let targets = self
            .instances
            .iter()
            .filter(|instance| instance.target.is_some());
        let expected = targets.count();
        let Some(status) = node_status(operators).await else {
            return false;
        };
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let ready = members.iter().filter(|member| {
            member["presence"] == "alive"
                && matches!(member["target_state"].as_str(), Some("ready" | "cold"))
        });
        status["catalogue_revision"].as_u64().unwrap_or(0) > 0 && ready.count() == expected
    }
}

/// Reads the status of the node with this operators' address; none when the call fails.
pub async fn node_status(operators: SocketAddr) -> Option<Value> {
    get_json(operators, "/status").await
}

/// Sends a GET request and parses the body as JSON, whatever the status; none when the call or the parsing fails.
pub async fn get_json(address: SocketAddr, path: &str) -> Option<Value> {
    serde_json::from_str(&get_text(address, path).await?).ok()
}

/// Sends a GET request and returns the body as text, whatever the status; none when the call fails or the body is not
/// UTF-8.
pub async fn get_text(address: SocketAddr, path: &str) -> Option<String> {
    let mut connection = Connection::open(address).await.ok()?;
    let reply = connection.call(&Call::get(path)).await.ok()?;
    String::from_utf8(reply.body.to_vec()).ok()
}

/// Applies a catalogue with the operators' tool `jujubeline`.
///
/// # Errors
///
/// When the catalogue file cannot be written, or the tool does not start or does not exit with success. In the last
/// case the detail holds the standard error output of the tool.
pub async fn apply_catalogue(
    platform: SocketAddr,
    entries: &[EntryPlan],
) -> Result<(), ProcessError> {
    let fail = |detail: String| ProcessError {
        name: "jujubeline".to_owned(),
        detail,
    };
    let folder = tempfile::tempdir().map_err(|error| fail(error.to_string()))?;
    let file = folder.path().join("catalogue.toml");
    std::fs::write(&file, catalogue_toml(entries)).map_err(|error| fail(error.to_string()))?;
    let output = Command::new(binary_path("jujubeline"))
        .arg("--platform-address")
        .arg(platform.to_string())
        .args(["catalogue", "apply"])
        .arg(&file)
        .output()
        .await
        .map_err(|error| fail(error.to_string()))?;
    if output.status.success() {
        return Ok(());
    }
    Err(fail(String::from_utf8_lossy(&output.stderr).into_owned()))
}
