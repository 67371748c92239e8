//! Evaluates a Starlark script within limits of size, steps, memory and depth.

use crate::error::{ConfigError, ConfigProblem, LoadError};
use crate::limits::{self, MAX_CALL_DEPTH, MAX_FILE_BYTES, MAX_HEAP_BYTES, MAX_STEPS};
use crate::location::line_of;
use serde_json::Value;
use starlark::environment::{FrozenModule, Globals, Module};
use starlark::eval::{Evaluator, FileLoader};
use starlark::syntax::{AstModule, Dialect};
use std::cell::RefCell;
use std::path::{Path, PathBuf};

pub(crate) struct EvaluatedScript {
    /// The dict that the script set.
    pub(crate) value: Value,
    /// The text of the script, without the files that it loads.
    pub(crate) text: String,
}

/// Evaluates a script and returns the dict that it sets under `name`.
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
        let problem = ConfigProblem::NotADict(json_type(&value));
        return Err(ConfigError { line: line_of(&text, name), ..error(problem) });
    }
    Ok(EvaluatedScript { value, text })
}

fn json_type(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "a list",
        Value::Object(_) => "a dict",
    }
}

fn error_in(path: &Path, problem: ConfigProblem) -> ConfigError {
    ConfigError { file: path.display().to_string(), line: None, key: None, problem }
}

fn read_file(path: &Path) -> Result<String, ConfigError> {
    let unreadable = |error: std::io::Error| error_in(path, ConfigProblem::Unreadable(error.to_string()));
    let metadata = std::fs::metadata(path).map_err(unreadable)?;
    if !metadata.is_file() {
        return Err(error_in(path, ConfigProblem::NotAFile));
    }
    if metadata.len() > MAX_FILE_BYTES {
        return Err(error_in(path, ConfigProblem::TooLarge(metadata.len())));
    }
    std::fs::read_to_string(path).map_err(unreadable)
}

/// Evaluates files and their loads, which may only name files in the same folder.
struct ModuleLoader<'a> {
    folder: PathBuf,
    /// Loads so far, in the script and all files that it loads.
    load_count: &'a RefCell<usize>,
    /// Nesting depth of the file that is evaluated; 0 for the script itself.
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
                evaluator
                    .set_max_heap_size(MAX_HEAP_BYTES)
                    .map_err(|error| limit_error(error.to_string()))?;
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
        // A name with a path could refer to a file outside the folder.
        if name.contains(['/', '\\']) || name.starts_with('.') || name.is_empty() {
            return Err(LoadError::OutsideFolder(name.to_string()));
        }
        if limits::exceeds_load_limits(self.depth, *self.load_count.borrow()) {
            return Err(LoadError::TooManyLoads(name.to_string()));
        }
        let path = self.folder.join(name);
        let text = read_file(&path)?;
        let nested =
            ModuleLoader { folder: self.folder.clone(), load_count: self.load_count, depth: self.depth + 1 };
        Ok(nested.evaluate(&path, &text)?)
    }
}

impl FileLoader for ModuleLoader<'_> {
    fn load(&self, path: &str) -> starlark::Result<FrozenModule> {
        self.load_file(path).map_err(starlark::Error::new_other)
    }
}

/// Converts an error of the interpreter; uses `path` if the interpreter does not report a location.
fn located_error(path: &Path, error: &starlark::Error) -> ConfigError {
    let span = error.span();
    ConfigError {
        file: span.map_or_else(|| path.display().to_string(), |span| span.filename().to_string()),
        line: span.map(|span| span.resolve_span().begin.line + 1),
        key: None,
        problem: ConfigProblem::Script(error.without_diagnostic().to_string()),
    }
}
