//! Locations of keys in files.

/// The first line, from 1, with the last part of a key, in a script or in JSON.
#[must_use]
pub fn line_of(text: &str, key: &str) -> Option<usize> {
    let is_name = |part: &&str| part.parse::<usize>().is_err();
    let last_name = key.rsplit('.').find(is_name)?;
    let name = last_name.split('[').next()?;
    let quoted = format!("\"{name}\"");
    let assigned = format!("{name} =");
    let names_key = |line: &str| line.contains(&quoted) || line.trim_start().starts_with(&assigned);
    let index = text.lines().position(names_key)?;
    Some(index + 1)
}
