//! Command that runs one stand-in as a process.

use {
    bpaf::Bpaf,
    jujubeline_standin::{
        platform::PlatformStandin,
        targets::{TargetSettings, TargetStandin},
    },
    std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration},
    tokio::signal::unix::{SignalKind, signal},
};

/// Stand-ins for tests. Each prints its address as the first line and runs until it is interrupted.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// The platform's object API
    #[bpaf(command)]
    Platform {
        /// Address to listen on; port 0 takes a free port
        #[bpaf(
            argument("ADDRESS"),
            fallback(SocketAddr::from(([127, 0, 0, 1], 0))),
            display_fallback
        )]
        address: SocketAddr,
    },
    /// A target with a fixed number of slots that announces itself to the node beside it
    #[bpaf(command)]
    Target(#[bpaf(external(target_options))] TargetOptions),
}

/// Settings of the target stand-in
#[derive(Debug, Clone, Bpaf)]
struct TargetOptions {
    /// Address to listen on; port 0 takes a free port
    #[bpaf(
        argument("ADDRESS"),
        fallback(SocketAddr::from(([127, 0, 0, 1], 0))),
        display_fallback
    )]
    address: SocketAddr,
    /// Operators' address of the node beside the target
    #[bpaf(argument("ADDRESS"))]
    operators: Option<SocketAddr>,
    /// Callers' address of the node beside the target, for outgoing calls; several addresses are used in turn
    #[bpaf(argument("ADDRESS"))]
    node: Vec<SocketAddr>,
    /// Path that the target calls for each request; CLASS and ID are replaced by the first and last segment of
    /// the request's path
    #[bpaf(argument("PATH"))]
    call: Vec<String>,
    /// File to which each execution is appended
    #[bpaf(argument("FILE"))]
    journal: Option<PathBuf>,
    /// Retries of a failed outgoing call
    #[bpaf(argument("COUNT"), fallback(0))]
    call_retries: u32,
    /// Requests that run concurrently
    #[bpaf(argument("COUNT"), fallback(16))]
    slots: u32,
    /// Maximum number of connections that the target announces
    #[bpaf(argument("COUNT"), fallback(64))]
    connections: u32,
    /// Maximum number of requests that wait for a slot; further ones are shed
    #[bpaf(argument("COUNT"), fallback(1_024))]
    queue: u32,
    /// Time that a request occupies a slot, in microseconds
    #[bpaf(argument("MICROSECONDS"), fallback(1_000))]
    service_us: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let result = match command().run() {
        Command::Platform { address } => run_platform(address).await,
        Command::Target(options) => run_target(options).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jujubeline-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run_platform(address: SocketAddr) -> std::io::Result<()> {
    let standin = PlatformStandin::start(address).await?;
    println!("{}", standin.address());
    until_stopped().await?;
    standin.stop().await;
    Ok(())
}

async fn run_target(options: TargetOptions) -> std::io::Result<()> {
    let target = TargetStandin::start(TargetSettings {
        address: options.address,
        slots: options.slots,
        connections: options.connections,
        service: Duration::from_micros(options.service_us),
        queue: options.queue,
        call_addresses: options.node,
        calls: options.call,
        call_retries: options.call_retries,
        journal: options.journal,
    })
    .await?;
    println!("{}", target.address());
    if let Some(operators) = options.operators {
        target.announcement("ready").send(operators).await?;
    }
    until_stopped().await?;
    if let Some(operators) = options.operators {
        // The node may have stopped before the target, so a failed announcement is not an error.
        let _ = target.announcement("gone").send(operators).await;
    }
    target.stop().await;
    Ok(())
}

async fn until_stopped() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => Ok(()),
        interrupted = tokio::signal::ctrl_c() => interrupted,
    }
}
