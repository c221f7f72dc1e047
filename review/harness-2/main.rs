//! Plays the script cases of this review: `harness CASE ROOT RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` in the
//! environment, it does the same without the disruption.

mod gateways;
mod http;
mod json;
mod record;
mod servers;
mod silent_case;
mod store;

use std::path::Path;
use std::process::exit;
use std::time::Duration;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, file] = arguments.as_slice() else {
        eprintln!("harness CASE ROOT RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut record = record::Record::new(Path::new(file));
    let root = Path::new(root);
    let millis = Duration::from_millis;
    let held = match case.as_str() {
        "silent" => {
            // The sheets of tinshare-gw and of tlp-broneering-large.
            let small = silent_case::Sheet {
                gateways: 4,
                touch: millis(3_000),
                config: millis(2_000),
                evacuation: millis(5_000),
                watched: millis(5_000),
            };
            let large = silent_case::Sheet {
                gateways: 53,
                touch: millis(5_000),
                config: millis(4_000),
                evacuation: millis(5_000),
                watched: millis(13_000),
            };
            let mut held = Some(true);
            for sheet in [small, large] {
                let played = silent_case::play(root, &sheet, has_trouble, &mut record);
                held = held.zip(played).map(|(before, now)| before && now);
            }
            held
        }
        _ => None,
    };
    exit(match held {
        Some(true) => 0,
        Some(false) => 1,
        None => 2,
    });
}
