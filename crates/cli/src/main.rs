//! The program: what it is asked for on its command line, its log, and how it ends.

// Until its turn: docs/ROADMAP.md.
#![allow(unreachable_pub)]

mod check;
mod demo;

use clap::{Parser, Subcommand, ValueEnum};
use latchhaven_gateway::serve::serve;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::task::LocalSet;
use tracing::Level;
use tracing_appender::non_blocking::NonBlockingBuilder;

/// Log lines held for a reader that is behind; further ones are dropped rather than waited for.
const LOG_LINES: usize = 2048;
/// The last log lines get so long to be taken.
const FLUSH: Duration = Duration::from_millis(300);

/// Routes txns while builds roll out, and judges builds.
#[derive(Parser)]
#[command(name = "latchhaven", version)]
struct Line {
    /// How log lines are written, on standard error.
    #[arg(long, global = true, value_enum, default_value = "text")]
    log_format: Format,
    /// From which level on lines are written; LATCHHAVEN_LOG holds where this is not given.
    #[arg(long, global = true, value_enum)]
    log_level: Option<Wanted>,
    /// A gateway logs its counters every so many seconds, as on SIGUSR1; not at all where this is not given.
    #[arg(long, value_name = "SECONDS", value_parser = clap::value_parser!(u32).range(1..), global = true)]
    counters_every: Option<u32>,
    #[command(subcommand)]
    word: Option<Word>,
}

#[derive(Clone, Copy, ValueEnum)]
enum Format {
    Text,
    Json,
}

#[derive(Clone, Copy, ValueEnum)]
enum Wanted {
    Debug,
    Info,
    Warn,
}

#[derive(Subcommand)]
enum Word {
    /// Runs one gateway, configured by BALANCER_CONFIG and its like; also without any word.
    Serve,
    /// Runs a control service that hands decisions to other proxies over xDS.
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
    /// Plays a rollout of a bad and a good build between stand-ins on loopback, in about 30 s.
    Demo {
        /// Seeds the decisions.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

fn main() -> ExitCode {
    let line = Line::parse();
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(LOG_LINES);
    let (log, guard) = builder.finish(io::stderr());
    let level = match (line.log_level, std::env::var("LATCHHAVEN_LOG").as_deref()) {
        (Some(Wanted::Debug), _) | (None, Ok("debug")) => Level::DEBUG,
        (Some(Wanted::Warn), _) | (None, Ok("warn")) => Level::WARN,
        _ => Level::INFO,
    };
    let told = tracing_subscriber::fmt().with_writer(log).with_max_level(level).with_ansi(false);
    match line.log_format {
        Format::Text => told.with_target(false).init(),
        Format::Json => told.json().flatten_event(true).init(),
    }
    let ended = match line.word {
        None | Some(Word::Serve) => {
            let counted = line.counters_every.map(|seconds| Duration::from_secs(seconds.into()));
            on_one_thread(serve(counted)).map(|()| ExitCode::SUCCESS)
        }
        Some(Word::Control { file }) => control(&file),
        Some(Word::Check { files, schema }) => Ok(check::check(&files, schema)),
        Some(Word::Demo { seed }) => demo::demo(seed),
    };
    // Behind a full pipe the guard would wait, and complain where nobody reads either.
    let (done, flushed) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        drop(guard);
        let _ = done.send(());
    });
    let _ = flushed.recv_timeout(FLUSH);
    match ended {
        Ok(code) => code,
        Err(fault) => {
            eprintln!("latchhaven: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn control(file: &Path) -> io::Result<ExitCode> {
    let loaded = latchhaven_operator_config::read(file).map_err(io::Error::other)?;
    on_one_thread(latchhaven_control_plane::serve(loaded.config)).map(|()| ExitCode::SUCCESS)
}

/// One thread and no locks: tasks of a gateway or control service take turns.
fn on_one_thread(work: impl Future<Output = io::Result<()>>) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, work)
}
