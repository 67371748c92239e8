//! Errors in invalid files: file, line, key and text.

use latchhaven_operator_config::read;
use std::path::PathBuf;

const VALID: &str = r#"control = {
    "name": "a",
    "discovery": "127.0.0.1:1",
    "settings": {},
    "xds": {
        "listen": "127.0.0.1:2",
        "listener": "127.0.0.1:3",
        "in_flight_per_host": 64,
    },
}
"#;

/// A folder for the files of one test, removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("latchhaven-config-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder for the test");
        Folder(folder)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file for the test");
        path
    }

    /// Reads `text` as a script and returns its errors, without the folder in paths.
    fn errors(&self, text: &str) -> String {
        let path = self.write("control.star", text);
        let errors = read(&path).expect_err(text).to_string();
        errors.replace(&format!("{}/", self.0.display()), "")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn invalid_value_is_reported_by_key_and_line() {
    let folder = Folder::new("values");
    let with_xds = |line: &str| VALID.replace("    \"xds\": {\n", &format!("    \"xds\": {{\n{line}\n"));
    assert!(read(&folder.write("valid.star", VALID)).is_ok());
    for (text, expected) in [
        (
            VALID.replace("\"listener\"", "\"listner\""),
            "control.star:7: control.xds.listner: unknown field `listner`, expected one of `listen`, `allowed_networks`, `streams_most`, `listener`, `product_header`, `key_header`, `in_flight_per_host`, `connect_within_ms`, `evidence`, `hosts_apart`",
        ),
        (
            VALID.replace("\"name\"", "\"nam\""),
            "control.star:2: control.nam: unknown field `nam`, expected one of `name`, `discovery`, `platform`, `seed`, `settings`, `state`, `shared_key_file`, `xds`",
        ),
        (
            VALID.replace("    \"discovery\": \"127.0.0.1:1\",\n", ""),
            "control.star:1: control: missing field `discovery`",
        ),
        (VALID.replace("64", "0"), "control.star:8: control.xds.in_flight_per_host: lower than 1, found 0"),
        (
            VALID.replace("64", "\"64\""),
            "control.star:8: control.xds.in_flight_per_host: invalid type: string \"64\", expected u32",
        ),
        (with_xds("\"streams_most\": 0,"), "control.star:6: control.xds.streams_most: lower than 1, found 0"),
        (
            with_xds("\"connect_within_ms\": 60001,"),
            "control.star:6: control.xds.connect_within_ms: greater than 60000, found 60001",
        ),
        (
            with_xds("\"product_header\": \"\","),
            "control.star:6: control.xds.product_header: length is lower than 1, found \"\"",
        ),
        (
            with_xds("\"evidence\": \"both\","),
            "control.star:6: control.xds.evidence: unknown variant `both`, expected `proxies` or `platform`",
        ),
        (
            VALID.replace("127.0.0.1:2", "10.1.2.3:2"),
            "control.star:6: control.xds.listen: expected a loopback address, or another network in allowed_networks, found \"10.1.2.3:2\"",
        ),
        (
            VALID.replace("64", "0").replace("\"a\"", "\"\""),
            "control.star:2: control.name: length is lower than 1, found \"\"\ncontrol.star:8: control.xds.in_flight_per_host: lower than 1, found 0",
        ),
    ] {
        assert_eq!(folder.errors(&text), expected);
    }
}

#[test]
fn script_that_fails_is_reported_by_line() {
    let folder = Folder::new("scripts");
    folder.write("broken.star", "x = 1\ny = nothing\n");
    folder.write("empty.star", "");
    for (text, expected) in [
        ("contrl = {}\n", "control.star: control: not set, expected a dict"),
        ("x = 1\ncontrol = [1]\n", "control.star:2: control: expected a dict, found a list"),
        (
            "load(\"../a.star\", \"a\")\n",
            "load of '../a.star': only files in the same folder, expected a name without a path",
        ),
        (
            "load(\"control.star\", \"control\")\n",
            "load of 'control.star': expected at most 64 loads, nested at most 8 deep and not in a circle",
        ),
        ("load(\"broken.star\", \"x\")\n", "broken.star:2: Variable `nothing` not found"),
        ("load(\"empty.star\", \"x\")\n", "Module has no symbol `x`"),
        ("x = 1\ncontrol = {\n", "control.star:3: "),
        ("x = 1\ncontrol = {\"a\": 1 // 0}\n", "control.star:2: "),
        ("def f():\n    return f()\nf()\n", "control.star"),
    ] {
        let errors = folder.errors(text);
        assert!(errors.contains(expected), "{text}: {errors}");
    }
}

#[test]
fn file_that_cannot_be_read_is_reported() {
    let folder = Folder::new("files");
    let missing = read(&folder.0.join("missing.star")).expect_err("no file").to_string();
    assert!(missing.ends_with("missing.star: No such file or directory (os error 2)"), "{missing}");
    let is_folder = read(&folder.0).expect_err("a folder").to_string();
    assert_eq!(is_folder, format!("{}: expected a regular file", folder.0.display()));
    let large = folder.errors(&"#".repeat((1 << 20) + 1));
    assert_eq!(large, "control.star: expected at most 1048576 bytes, found 1048577");
}
