//! The program `latchhaven`: its command line, its log, and how it ends.

mod check;
mod demo;

use clap::{Parser, Subcommand, ValueEnum};
use latchhaven_gateway::serve::serve;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use tokio::task::LocalSet;
use tracing::Level;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

/// Log lines held for a reader that is behind; further ones are dropped rather than waited for.
const MAX_BUFFERED_LOG_LINES: usize = 2048;
/// How long the process waits at its end for the last log lines to be taken.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// The variable that sets the log level where no flag does.
const LOG_LEVEL_VARIABLE: &str = "LATCHHAVEN_LOG";

/// Routes requests while software versions roll out, and judges the versions.
#[derive(Parser)]
#[command(name = "latchhaven", version)]
struct Cli {
    /// How log lines are written, on standard error.
    #[arg(long, global = true, value_enum, default_value = "text")]
    log_format: LogFormat,
    /// From which level on lines are written; LATCHHAVEN_LOG holds where this is not given.
    #[arg(long, global = true, value_enum)]
    log_level: Option<LogLevel>,
    /// A gateway logs its counters every so many seconds, as on SIGUSR1; not at all where this is not given.
    #[arg(long, value_name = "SECONDS", value_parser = clap::value_parser!(u32).range(1..), global = true)]
    counters_every: Option<u32>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogLevel {
    Debug,
    Info,
    Warn,
}

impl From<LogLevel> for Level {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Debug => Level::DEBUG,
            LogLevel::Info => Level::INFO,
            LogLevel::Warn => Level::WARN,
        }
    }
}

#[derive(Subcommand)]
enum Command {
    /// Runs one gateway, configured by BALANCER_CONFIG and its like; also without any command.
    Serve,
    /// Runs a control service that publishes decisions to other proxies over xDS.
    Control {
        /// The operator's file, a Starlark script.
        file: PathBuf,
    },
    /// Reads configurations (.star or .json) and prints each fault; ends with 1 where there is any.
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Prints the schema of operators' files instead.
        #[arg(long, conflicts_with = "files")]
        schema: bool,
    },
    /// Plays a rollout of a bad and a good version between fakes on loopback, in about 30 s.
    Demo {
        /// Seeds the decisions.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let worker_guard = start_log(cli.log_format, cli.log_level);
    let counters_interval = cli.counters_every.map(|seconds| Duration::from_secs(seconds.into()));
    let result = match cli.command {
        None | Some(Command::Serve) => run_gateway(counters_interval),
        Some(Command::Control { file }) => run_control_plane(&file),
        Some(Command::Check { files, schema }) => Ok(check::check(&files, schema)),
        Some(Command::Demo { seed }) => demo::demo(seed),
    };
    flush_log(worker_guard);
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("latchhaven: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Starts the log on standard error; a reader that is behind stalls nothing.
fn start_log(format: LogFormat, level: Option<LogLevel>) -> WorkerGuard {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_BUFFERED_LOG_LINES);
    let (writer, guard) = builder.finish(io::stderr());
    let level = level.map_or_else(log_level_from_environment, Level::from);
    let subscriber = tracing_subscriber::fmt().with_writer(writer).with_max_level(level).with_ansi(false);
    match format {
        LogFormat::Text => subscriber.with_target(false).init(),
        LogFormat::Json => subscriber.json().flatten_event(true).init(),
    }
    guard
}

fn log_level_from_environment() -> Level {
    match std::env::var(LOG_LEVEL_VARIABLE).as_deref() {
        Ok("debug") => Level::DEBUG,
        Ok("warn") => Level::WARN,
        _ => Level::INFO,
    }
}

/// Has the last log lines written. Behind a full pipe the guard would wait, and complain where nobody reads either.
fn flush_log(worker_guard: WorkerGuard) {
    let (flushed, wait) = mpsc::channel();
    thread::spawn(move || {
        drop(worker_guard);
        let _ = flushed.send(());
    });
    let _ = wait.recv_timeout(LOG_FLUSH_TIMEOUT);
}

fn run_gateway(counters_interval: Option<Duration>) -> io::Result<ExitCode> {
    let gateway = async { serve(counters_interval).await.map_err(io::Error::other) };
    run_on_one_thread(gateway).map(|()| ExitCode::SUCCESS)
}

fn run_control_plane(file: &Path) -> io::Result<ExitCode> {
    let loaded = latchhaven_operator_config::read(file).map_err(io::Error::other)?;
    run_on_one_thread(latchhaven_control_plane::serve(loaded.config)).map(|()| ExitCode::SUCCESS)
}

/// One thread and no locks: tasks of a gateway or control service take turns.
fn run_on_one_thread(work: impl Future<Output = io::Result<()>>) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, work)
}
