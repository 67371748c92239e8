//! Operators' files. A file is a Starlark script (functions, loops, `load` of sibling files) that sets
//! `control`, a dict. It is evaluated within bounds, without clock or chance, and read into [`Plan`], whose
//! every key is checked. What the platform itself hands over stays JSON and is read elsewhere.

// Until its turn: docs/ROADMAP.md.
#![allow(missing_docs, unreachable_pub)]

mod records;
mod script;

pub use records::{Evidence, Plan, Xds};
pub use script::{Fault, line_of};

use garde::Validate;
use std::path::Path;

/// The name that a script has to set.
const NAME: &str = "control";

/// Reads, evaluates and checks a file; its text of JSON comes along, for whoever shows it.
///
/// # Errors
/// All faults that were found, each with file, line where there is one, and key.
pub fn read(path: &Path) -> Result<(Plan, serde_json::Value), Faults> {
    let (value, text) = script::evaluate(path, NAME).map_err(|fault| Faults(vec![fault]))?;
    let at = |key: &str, why: &str| Fault {
        file: path.display().to_string(),
        line: script::line_of(&text, key),
        key: Some(key.to_string()),
        why: why.to_string(),
    };
    let plan: Plan = serde_path_to_error::deserialize(&value).map_err(|fault| {
        let (path, why) = (fault.path().to_string(), fault.inner().to_string());
        // An unknown or missing key is named in the words only, below the path.
        let named = why.split('`').nth(1).filter(|_| why.starts_with("unknown field"));
        let key = match (path.as_str(), named) {
            (".", Some(name)) => format!("{NAME}.{name}"),
            (".", None) => NAME.to_string(),
            (path, Some(name)) if !path.ends_with(name) => format!("{NAME}.{path}.{name}"),
            (path, _) => format!("{NAME}.{path}"),
        };
        Faults(vec![at(&key, &why)])
    })?;
    plan.validate().map_err(|report| {
        let faults = report.iter().map(|(path, why)| at(&format!("{NAME}.{path}"), &why.to_string()));
        Faults(faults.collect())
    })?;
    Ok((plan, value))
}

/// The JSON schema of `control`, as published in `docs/control-schema.json`.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(Plan).to_value()
}

/// What is wrong with a file: at least one fault.
#[derive(Debug, thiserror::Error)]
pub struct Faults(pub Vec<Fault>);

impl std::fmt::Display for Faults {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Fault::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}
