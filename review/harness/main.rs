//! Stand-ins, clients and cases of the review. Uses the standard library alone.

mod clients;
mod deadly_case;
mod group;
mod group_case;
mod http;
mod json;
mod map_case;
mod processes;
mod record;
mod revoke_case;
mod servers;
mod silence_case;
mod stop_case;
mod store;

use std::path::PathBuf;

use record::Record;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

impl Verdict {
    /// The worse one of the verdicts on two parts of a case.
    fn worse(self, other: Self) -> Self {
        match (&self, &other) {
            (Self::Broken, _) | (Self::NotRun(_), Self::Held) => self,
            _ => other,
        }
    }
}

/// Longest run of a case; what it started is ended then.
const TIME_LIMIT: std::time::Duration = std::time::Duration::from_secs(116);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: harness CASE FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            std::process::exit(2);
        }
    };
    record.line(&format!("case {case}, trouble {has_trouble}"));
    let watched = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(TIME_LIMIT);
        finish(&watched, Verdict::NotRun("time limit".into()));
    });
    let verdict = match case.as_str() {
        "map" => map_case::run(&record, has_trouble),
        "revoke" => revoke_case::run(&record, has_trouble),
        "deadly" => deadly_case::run(&record, has_trouble),
        "silence" => {
            silence_case::run(&record, has_trouble).worse(group_case::run(&record, has_trouble))
        }
        "stop" => stop_case::run(&record, has_trouble),
        _ => Verdict::NotRun(format!("no case {case}")),
    };
    finish(&record, verdict);
}

/// Ends all processes of the case, writes the verdict and exits.
fn finish(record: &Record, verdict: Verdict) -> ! {
    processes::end_all();
    let (text, code) = match verdict {
        Verdict::Held => ("held".to_owned(), 0),
        Verdict::Broken => ("BROKEN".to_owned(), 1),
        Verdict::NotRun(reason) => (format!("could not run: {reason}"), 2),
    };
    record.line(&format!("verdict: {text}"));
    println!("{text}");
    std::process::exit(code);
}
