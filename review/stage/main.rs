//! Cases of the review that are scripts: `stage CASE RECORD`, run from the root of the repository. Exits with 1
//! if the rule was broken, 0 if it held and 2 if the case couldn't run.

mod cold;
mod group;
mod http;
mod json;
mod leave;
mod map;
mod plant;
mod stage;
mod store;

use std::path::{Path, PathBuf};

use stage::{Record, Stage};

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (case, path) = (arguments.next(), arguments.next());
    let (Some(case), Some(path)) = (case, path) else {
        eprintln!("stage CASE RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    std::process::exit(run(&case, Path::new(&path), has_trouble));
}

fn run(case: &str, path: &Path, has_trouble: bool) -> i32 {
    let Ok(record) = Record::new(path) else {
        return 2;
    };
    let binary = PathBuf::from("target/release/amaranthgw");
    let stage = std::fs::canonicalize(binary).and_then(|it| Stage::new(record.clone(), it));
    let Ok(mut stage) = stage else {
        record.line("could not run: no stage");
        return 2;
    };
    let verdict = match case {
        "map" => map::run(&mut stage, has_trouble),
        "drill" => leave::run_drill(&mut stage, has_trouble),
        "beat" => leave::run_late_beat(&mut stage, has_trouble),
        "evacuation" => leave::run_evacuation(&mut stage, has_trouble),
        "cold" => cold::run(&mut stage, has_trouble),
        _ => Ok(Verdict::CouldNotRun("unknown case".to_owned())),
    };
    stage.end();
    match verdict {
        Ok(Verdict::Held) => {
            record.line("the rule held");
            0
        }
        Ok(Verdict::Broken) => {
            record.line("the rule was broken");
            1
        }
        Ok(Verdict::CouldNotRun(why)) => {
            record.line(&format!("could not run: {why}"));
            2
        }
        Err(error) => {
            record.line(&format!("could not run: {error}"));
            2
        }
    }
}
