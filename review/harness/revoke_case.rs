//! All keys are taken away from the connected clients of the only tenant.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::clients::{KEYS, TENANT, call, configuration, configure, request, wait_ready};
use crate::processes::start_gateway;
use crate::record::Record;
use crate::servers::{Server, head};
use crate::store::Store;

/// A key that no configuration holds.
const STRANGE_KEY: &str = "zz5never0held0by0any";
/// Time between the two revocations, as in the site's list of disruptions.
const GAP: Duration = Duration::from_millis(1_500);
/// Bound within which a configuration is in force, `config_ms`.
const CONFIG_BOUND: Duration = Duration::from_millis(2_000);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    match play(record, has_trouble) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::NotRun(error.to_string()),
    }
}

fn play(record: &Record, has_trouble: bool) -> std::io::Result<Verdict> {
    let host = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let store = Store::start(host)?;
    configure(&store);
    let answer = Arc::new(
        |request: &crate::http::Request, stream: &mut std::net::TcpStream| {
            use std::io::Write;
            let text = head(request, "stamp", "200 OK", "content-length: 6\r\n") + "booked";
            stream.write_all(text.as_bytes())
        },
    );
    let mut servers = Vec::new();
    for name in ["i-1", "i-2", "i-3"] {
        let server = Server::start(name, host, record, answer.clone())?;
        server.register(&store, "lending-desk", "brum");
        servers.push(server);
    }
    let mut fronts = Vec::new();
    for name in ["edge-brum-1", "edge-notts-1"] {
        let gateway = start_gateway(name, "brum", store.address)?;
        if !wait_ready(gateway.ready) {
            return Ok(Verdict::NotRun(format!("{name} is not ready")));
        }
        fronts.push((name, gateway.front));
    }
    let ask = |round: &str, expect_run: bool| -> std::io::Result<bool> {
        let mut is_kept = true;
        let keys = [
            ("key-1", KEYS[0]),
            ("key-2", KEYS[1]),
            ("strange", STRANGE_KEY),
        ];
        for (name, front) in &fronts {
            for (label, key) in keys {
                let id = format!("{round}.{name}.{label}");
                let text = request("POST", "/booking/2f", &id, key, 2_500, "one tin");
                let status = call(*front, &text)?.head.status;
                let runs = servers
                    .iter()
                    .flat_map(Server::runs)
                    .filter(|run| run.id == id);
                let runs: Vec<_> = runs.collect();
                record.line(&format!("client {id}: {status}, run {} times", runs.len()));
                let is_allowed = expect_run && label != "strange";
                let is_as_due = if is_allowed {
                    status == 200 && runs.len() == 1 && runs[0].tenant == TENANT
                } else {
                    runs.is_empty()
                };
                if runs.iter().any(|run| run.key.is_some()) {
                    record.line(&format!("{id}: the key was passed on"));
                }
                if !is_as_due {
                    record.line(&format!(
                        "{id}: run with key {label}, tenant due: {is_allowed}"
                    ));
                    is_kept = false;
                }
            }
        }
        Ok(is_kept)
    };
    // Keys that are held run, a strange one doesn't; this holds with and without the disruption.
    let is_kept_before = ask("before", true)?;
    let mut is_kept = is_kept_before;
    if has_trouble {
        record.line("operator: version 8 takes away one key");
        store.put("op/config", &configuration(8, &KEYS[1..]));
        std::thread::sleep(GAP);
        record.line("operator: version 9 takes away the other key");
        store.put("op/config", &configuration(9, &[]));
        std::thread::sleep(CONFIG_BOUND + Duration::from_millis(1_000));
        is_kept &= ask("after", false)?;
        // Long after the bound as well, so that it is no delay.
        std::thread::sleep(Duration::from_secs(10));
        is_kept &= ask("later", false)?;
    } else {
        std::thread::sleep(GAP + CONFIG_BOUND);
        is_kept &= ask("after", true)?;
    }
    if !is_kept_before {
        return Ok(Verdict::NotRun("requests were not served before".into()));
    }
    Ok(if is_kept {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
