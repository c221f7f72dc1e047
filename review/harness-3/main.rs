//! Plays the script cases 8 and on of this review: `harness-3 CASE ROOT RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` in the
//! environment, it does the same without the disruption.

mod deadly_stream_case;
mod fraction_case;
#[path = "../harness-2/gateways.rs"]
mod gateways;
#[path = "../harness-2/http.rs"]
mod http;
#[path = "../harness-2/json.rs"]
mod json;
mod leaving_case;
mod machines;
mod plain_server;
#[path = "../harness-2/record.rs"]
mod record;
mod registry;
#[path = "../harness-2/store.rs"]
mod store;
mod stream_server;

use std::path::Path;
use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, role, id, address] = arguments.as_slice() {
        if role == "stream-server" {
            stream_server::serve(id, address);
        }
    }
    let [_, case, root, file] = arguments.as_slice() else {
        eprintln!("harness-3 CASE ROOT RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut record = record::Record::new(Path::new(file));
    let root = Path::new(root);
    let held = match case.as_str() {
        "deadly-stream" => deadly_stream_case::play(root, has_trouble, &mut record),
        "leaving" => leaving_case::play(root, has_trouble, &mut record),
        "fraction" => fraction_case::play(root, has_trouble, &mut record),
        _ => None,
    };
    exit(match held {
        Some(true) => 0,
        Some(false) => 1,
        None => 2,
    });
}
