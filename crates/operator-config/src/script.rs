//! Evaluates a Starlark script within limits of size, steps, memory and depth.

use crate::error::{ConfigError, ConfigProblem, LoadError};
use crate::limits::{self, MAX_CALL_DEPTH, MAX_FILE_SIZE, MAX_HEAP_SIZE, MAX_STEPS};
use crate::location::line_of;
use serde_json::Value;
use starlark::environment::{FrozenModule, Globals, Module};
use starlark::eval::{Evaluator, FileLoader};
use starlark::syntax::{AstModule, Dialect};
use std::cell::RefCell;
use std::path::{Path, PathBuf};

/// The result of a script.
pub(crate) struct EvaluatedScript {
    /// The value of the name that the script set.
    pub(crate) value: Value,
    /// The script's own text.
    pub(crate) text: String,
}

/// Evaluates a file and returns the dict of a name that it sets.
pub(crate) fn evaluate(path: &Path, name: &str) -> Result<EvaluatedScript, ConfigError> {
    let text = read_file(path)?;
    let load_count = RefCell::new(0);
    let folder = path.parent().unwrap_or(Path::new(".")).to_path_buf();
    let loader = ModuleLoader { folder, load_count: &load_count, depth: 0 };
    let module = loader.evaluate(path, &text)?;
    let error = |problem| ConfigError { key: Some(name.to_string()), ..error_in(path, problem) };
    let script_error = |message: String| error(ConfigProblem::Script(message));
    let exported = module.get_option(name).map_err(|failure| script_error(failure.to_string()))?;
    let exported = exported.ok_or_else(|| error(ConfigProblem::NotSet))?;
    let value = exported.value().to_json_value().map_err(|failure| script_error(failure.to_string()))?;
    if !value.is_object() {
        return Err(ConfigError { line: line_of(&text, name), ..error(ConfigProblem::NotADict) });
    }
    Ok(EvaluatedScript { value, text })
}

fn error_in(path: &Path, problem: ConfigProblem) -> ConfigError {
    ConfigError { file: path.display().to_string(), line: None, key: None, problem }
}

fn read_file(path: &Path) -> Result<String, ConfigError> {
    let unreadable = |error: std::io::Error| error_in(path, ConfigProblem::Unreadable(error.to_string()));
    let metadata = std::fs::metadata(path).map_err(unreadable)?;
    if !metadata.is_file() || metadata.len() > MAX_FILE_SIZE {
        return Err(error_in(path, ConfigProblem::NotAFileWithinLimit));
    }
    std::fs::read_to_string(path).map_err(unreadable)
}

/// Loads files of one folder only.
struct ModuleLoader<'a> {
    folder: PathBuf,
    /// The number of loads so far, of all files of a script.
    load_count: &'a RefCell<usize>,
    depth: usize,
}

impl ModuleLoader<'_> {
    fn evaluate(&self, path: &Path, text: &str) -> Result<FrozenModule, ConfigError> {
        let script_error = |error: starlark::Error| located_error(path, &error);
        let limit_error = |message: String| error_in(path, ConfigProblem::Script(message));
        let file = path.display().to_string();
        let syntax_tree =
            AstModule::parse(&file, text.to_string(), &Dialect::Standard).map_err(script_error)?;
        let globals = Globals::standard();
        Module::with_temp_heap(|module| {
            {
                let mut evaluator = Evaluator::new(&module);
                evaluator.set_loader(self);
                evaluator.set_max_tick_count(MAX_STEPS).map_err(|error| limit_error(error.to_string()))?;
                evaluator.set_max_heap_size(MAX_HEAP_SIZE).map_err(|error| limit_error(error.to_string()))?;
                evaluator
                    .set_max_callstack_size(MAX_CALL_DEPTH)
                    .map_err(|error| limit_error(error.to_string()))?;
                evaluator.eval_module(syntax_tree, &globals).map_err(script_error)?;
            }
            module.freeze().map_err(|error| limit_error(format!("{error:?}")))
        })
    }

    fn load_file(&self, name: &str) -> Result<FrozenModule, LoadError> {
        *self.load_count.borrow_mut() += 1;
        // A path could leave the folder.
        if name.contains(['/', '\\']) || name.starts_with('.') || name.is_empty() {
            return Err(LoadError::OutsideFolder(name.to_string()));
        }
        if limits::exceeds_load_limits(self.depth, *self.load_count.borrow()) {
            return Err(LoadError::TooManyLoads(name.to_string()));
        }
        let path = self.folder.join(name);
        let text = read_file(&path)?;
        let inner =
            ModuleLoader { folder: self.folder.clone(), load_count: self.load_count, depth: self.depth + 1 };
        Ok(inner.evaluate(&path, &text)?)
    }
}

impl FileLoader for ModuleLoader<'_> {
    fn load(&self, path: &str) -> starlark::Result<FrozenModule> {
        self.load_file(path).map_err(starlark::Error::new_other)
    }
}

/// An error of the interpreter, with its location.
fn located_error(path: &Path, error: &starlark::Error) -> ConfigError {
    let span = error.span();
    ConfigError {
        file: span.map_or_else(|| path.display().to_string(), |span| span.filename().to_string()),
        line: span.map(|span| span.resolve_span().begin.line + 1),
        key: None,
        problem: ConfigProblem::Script(error.without_diagnostic().to_string()),
    }
}
