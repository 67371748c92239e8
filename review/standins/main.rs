//! The cases of this review and their stand-ins. `run.sh` of a case starts this program with the case's number.

mod common;
mod late_copy;
mod slow_uploads;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let record = std::env::args().nth(2).unwrap_or_else(|| "record.txt".to_string());
    let code = match case.as_str() {
        "late-copy" => late_copy::run(&record),
        "slow-uploads" => slow_uploads::run(&record),
        _ => common::could_not_run("unknown case"),
    };
    std::process::exit(code);
}
