//! Locations of keys in files.

/// Returns the number, from 1, of the first line of a script or of a JSON text that contains the last name in the path
/// `key`, in double quotes or assigned; `None` if no line does.
#[must_use]
pub fn line_of(text: &str, key: &str) -> Option<usize> {
    let is_name = |part: &&str| part.parse::<usize>().is_err();
    let last_name = key.rsplit('.').find(is_name)?;
    let name = last_name.split('[').next()?;
    let quoted = format!("\"{name}\"");
    let assigned = format!("{name} =");
    let contains_name = |line: &str| line.contains(&quoted) || line.trim_start().starts_with(&assigned);
    let index = text.lines().position(contains_name)?;
    Some(index + 1)
}
