//! The program `latchhaven`: its command line, its log and its exit code.

#![warn(clippy::pedantic)]
#![allow(clippy::cast_possible_truncation, reason = "stages and times in ms are small")]
#![allow(clippy::doc_markdown, reason = "doc comments of the command line are printed as its help")]

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

/// Log lines that are buffered while standard error is not read; more are dropped, so that logging never blocks.
const MAX_BUFFERED_LOG_LINES: usize = 2048;
/// How long the process waits before it exits for the last log lines to be written.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// The environment variable that sets the log level if `--log-level` is not given.
const LOG_LEVEL_VARIABLE: &str = "LATCHHAVEN_LOG";

/// Routes requests while software versions roll out, and analyses the canaries.
#[derive(Parser)]
#[command(name = "latchhaven", version)]
struct Cli {
    /// The format of log lines on standard error.
    #[arg(long, global = true, value_enum, default_value = "text")]
    log_format: LogFormat,
    /// The lowest level that is logged; by default the value of LATCHHAVEN_LOG.
    #[arg(long, global = true, value_enum)]
    log_level: Option<LogLevel>,
    /// The interval in seconds at which a gateway logs its counters; by default it logs them on SIGUSR1 only.
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
    /// Runs a gateway, configured by the file in BALANCER_CONFIG and by other BALANCER_ variables; the default command.
    Serve,
    /// Runs a control service that publishes decisions to other proxies over xDS.
    Control {
        /// The operator's configuration, a Starlark script.
        file: PathBuf,
    },
    /// Validates configurations (.star or .json) and prints each error; exits with 1 if there are any.
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Prints the schema of operators' configurations instead.
        #[arg(long, conflicts_with = "files")]
        schema: bool,
    },
    /// Rolls out a bad and a good version among fake clients, servers and proxies on loopback, in about 30 s.
    Demo {
        /// The seed of random numbers in the gateway and the fake proxies.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let log_writer = start_log(cli.log_format, cli.log_level);
    let counters_interval = cli.counters_every.map(|seconds| Duration::from_secs(seconds.into()));
    let result = match cli.command {
        None | Some(Command::Serve) => run_gateway(counters_interval),
        Some(Command::Control { file }) => run_control_plane(&file),
        Some(Command::Check { files, schema }) => Ok(check::check(&files, schema)),
        Some(Command::Demo { seed }) => demo::demo(seed),
    };
    flush_log(log_writer);
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("latchhaven: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Logs to standard error from a thread of its own, so that a slow reader of the log blocks no task.
fn start_log(format: LogFormat, level: Option<LogLevel>) -> WorkerGuard {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_BUFFERED_LOG_LINES);
    let (writer, worker) = builder.finish(io::stderr());
    let level = level.map_or_else(log_level_from_environment, Level::from);
    let subscriber = tracing_subscriber::fmt().with_writer(writer).with_max_level(level).with_ansi(false);
    match format {
        LogFormat::Text => subscriber.with_target(false).init(),
        LogFormat::Json => subscriber.json().flatten_event(true).init(),
    }
    worker
}

fn log_level_from_environment() -> Level {
    match std::env::var(LOG_LEVEL_VARIABLE).as_deref() {
        Ok("debug") => Level::DEBUG,
        Ok("warn") => Level::WARN,
        _ => Level::INFO,
    }
}

/// Writes the last log lines. Dropping the writer blocks while a pipe is full, so a thread does it, and the wait for it
/// ends after [`LOG_FLUSH_TIMEOUT`].
fn flush_log(log_writer: WorkerGuard) {
    let (flushed, wait) = mpsc::channel();
    thread::spawn(move || {
        drop(log_writer);
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

/// Runs all tasks of a gateway or control service on this thread; they share state without locks.
fn run_on_one_thread(work: impl Future<Output = io::Result<()>>) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, work)
}
