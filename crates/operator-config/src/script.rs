//! Evaluates a Starlark script within bounds of size, steps, memory and depth.

use serde_json::Value;
use starlark::environment::{FrozenModule, Globals, Module};
use starlark::eval::{Evaluator, FileLoader};
use starlark::syntax::{AstModule, Dialect};
use std::cell::RefCell;
use std::path::{Path, PathBuf};

/// Bytes of one file: a site of thousands of lines has less.
const FILE_MOST: u64 = 1 << 20;
/// Calls and loop turns of one file: building records takes thousands.
const STEPS: u64 = 1_000_000;
/// Bytes of values.
const HEAP: usize = 64 << 20;
/// Calls within calls.
const DEPTH: usize = 100;
/// Files that load one another, and files in all: each runs once for every `load`.
const LOADS_DEEP: usize = 8;
const LOADS_MOST: usize = 64;

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{file}{}: {}{why}", .line.map(|line| format!(":{line}")).unwrap_or_default(),
    .key.as_ref().map(|key| format!("{key}: ")).unwrap_or_default())]
pub struct Fault {
    pub file: String,
    /// From 1.
    pub line: Option<usize>,
    pub key: Option<String>,
    pub why: String,
}

/// Evaluates a file; the value of a name that it sets, and the file's text.
pub fn evaluate(path: &Path, name: &str) -> Result<(Value, String), Fault> {
    let folder = path.parent().unwrap_or(Path::new(".")).to_path_buf();
    let loads = RefCell::new(0);
    let text = read(path)?;
    let siblings = Siblings { folder, loads: &loads, deep: 0 };
    let module = siblings.run(path, &text)?;
    let here =
        |why: String| Fault { file: path.display().to_string(), line: None, key: Some(name.into()), why };
    let value = module.get_option(name).map_err(|fault| here(fault.to_string()))?;
    let value = value.ok_or_else(|| here("not set".to_string()))?;
    let value = value.value().to_json_value().map_err(|fault| here(fault.to_string()))?;
    if !value.is_object() {
        return Err(Fault { line: line_of(&text, name), ..here("no dict".to_string()) });
    }
    Ok((value, text))
}

/// The first line that names the last part of a key, if one does.
pub fn line_of(text: &str, key: &str) -> Option<usize> {
    let part = key.rsplit('.').find(|part| part.parse::<usize>().is_err())?;
    let part = part.split('[').next()?;
    let (quoted, plain) = (format!("\"{part}\""), format!("{part} ="));
    text.lines()
        .position(|line| line.contains(&quoted) || line.trim_start().starts_with(&plain))
        .map(|n| n + 1)
}

fn read(path: &Path) -> Result<String, Fault> {
    let fault = |why: String| Fault { file: path.display().to_string(), line: None, key: None, why };
    let size = std::fs::metadata(path).map_err(|why| fault(why.to_string()))?;
    if !size.is_file() || size.len() > FILE_MOST {
        return Err(fault(format!("no file of at most {FILE_MOST} bytes")));
    }
    std::fs::read_to_string(path).map_err(|why| fault(why.to_string()))
}

/// Loads files beside the first one, and no others.
struct Siblings<'a> {
    folder: PathBuf,
    loads: &'a RefCell<usize>,
    deep: usize,
}

impl Siblings<'_> {
    fn run(&self, path: &Path, text: &str) -> Result<FrozenModule, Fault> {
        let file = path.display().to_string();
        let told = |fault: starlark::Error| Fault {
            file: fault.span().map_or(file.clone(), |span| span.filename().to_string()),
            line: fault.span().map(|span| span.resolve_span().begin.line + 1),
            key: None,
            why: fault.without_diagnostic().to_string(),
        };
        let plain = |why: String| Fault { file: file.clone(), line: None, key: None, why };
        let ast = AstModule::parse(&file, text.to_string(), &Dialect::Standard).map_err(told)?;
        let globals = Globals::standard();
        Module::with_temp_heap(|module| {
            {
                let mut eval = Evaluator::new(&module);
                eval.set_loader(self);
                eval.set_max_tick_count(STEPS).map_err(|fault| plain(fault.to_string()))?;
                eval.set_max_heap_size(HEAP).map_err(|fault| plain(fault.to_string()))?;
                eval.set_max_callstack_size(DEPTH).map_err(|fault| plain(fault.to_string()))?;
                eval.eval_module(ast, &globals).map_err(told)?;
            }
            module.freeze().map_err(|fault| plain(format!("{fault:?}")))
        })
    }
}

impl FileLoader for Siblings<'_> {
    fn load(&self, path: &str) -> starlark::Result<FrozenModule> {
        let refuse = |why: String| starlark::Error::new_other(Loading(why));
        *self.loads.borrow_mut() += 1;
        // A path would reach beyond the folder; a circle would never end.
        if path.contains(['/', '\\']) || path.starts_with('.') || path.is_empty() {
            return Err(refuse(format!("load of '{path}': only files in the same folder, by name")));
        }
        if self.deep >= LOADS_DEEP || *self.loads.borrow() > LOADS_MOST {
            return Err(refuse(format!("load of '{path}': too many loads, or in a circle")));
        }
        let file = self.folder.join(path);
        let text = read(&file).map_err(|fault| refuse(fault.to_string()))?;
        let inner = Siblings { folder: self.folder.clone(), loads: self.loads, deep: self.deep + 1 };
        inner.run(&file, &text).map_err(|fault| refuse(fault.to_string()))
    }
}

#[derive(Debug, thiserror::Error)]
#[error("{0}")]
struct Loading(String);
