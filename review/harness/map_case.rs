//! Orders to the ranks of a group are carried out late, while servers write answers twice.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::group::{Disruption, EXPERT_MB, EXPERTS, Group, LINK_MBPS, PLACES, SETS, SPARE};
use crate::processes::{Process, free_port, wait_until};
use crate::record::Record;
use crate::store::Store;

const RANKS: u8 = 12;
/// Interval between shifts of the demand, as in the site's days.
const SHIFT: Duration = Duration::from_millis(3_100);
const PLAY_TIME: Duration = Duration::from_secs(100);
/// Largest doses of the site's list: `applied_late` and `garble` with `extra late`.
const TROUBLE: Disruption = Disruption {
    late_share: 0.35,
    spoiling_share: 0.6,
    extra_share: 0.03,
};

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    match play(record, has_trouble) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::NotRun(error.to_string()),
    }
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[],\"services\":[{{\"name\":\"helper-llm\",\
         \"health_path\":\"/healthz\",\"max_conns\":278,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_s\":3.0,\"cold_per_s\":28.0,\"engine\":{{\"slots\":12,\"kv_tokens\":372000,\
         \"kv_bytes\":96256,\"link_mbps\":{LINK_MBPS},\"stride\":5,\"models\":[{{\"name\":\"m\"}}],\
         \"step_ms\":5.85,\"per_seq_ms\":0.355,\"context_per_k\":0.036,\"read_per_s\":61200.0,\
         \"pairs_per_m\":0.325,\"chunk\":512,\"report_lag_ms\":200.0,\"sets\":{SETS},\
         \"experts\":{EXPERTS},\"places\":{PLACES},\"spare\":{SPARE},\"expert_mb\":{EXPERT_MB},\
         \"expert_share\":0.85,\"form_ms\":600.0}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[]}}"
    )
}

fn play(record: &Record, has_trouble: bool) -> std::io::Result<Verdict> {
    let seed = std::env::var("SEED")
        .ok()
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(1);
    record.line(&format!("seed {seed}"));
    let host = |last: u8| IpAddr::V4(Ipv4Addr::new(127, 0, 1, last));
    let hosts: Vec<IpAddr> = (1..=RANKS).map(host).collect();
    let store = Store::start(hosts[0])?;
    store.put("op/config", &configuration());
    let mut disruption = if has_trouble {
        TROUBLE
    } else {
        Disruption::default()
    };
    // For trials with one of the two disruptions alone.
    match std::env::var("ONLY").as_deref() {
        Ok("late") => disruption.extra_share = 0.0,
        Ok("extra") => disruption.late_share = 0.0,
        _ => {}
    }
    let group = Group::new(hosts.len(), seed, disruption, record);
    let ranks = group.start(&hosts)?;
    let (node, metrics) = (free_port(&hosts), free_port(&hosts));
    beat(&store, &ranks);
    for (rank, address) in ranks.iter().enumerate() {
        let name = format!("side-{rank}");
        let settings = format!(
            "{{\"vm\": \"{name}\", \"domain\": \"brum\", \"service\": \"helper-llm\", \
             \"rank\": \"{address}\", \"node_listen\": \"{0}:{node}\", \
             \"metrics_listen\": \"{0}:{metrics}\", \"store\": \"{1}\", \"grace\": \"8s\", \
             \"fenced_orders\": true}}",
            address.ip(),
            store.address
        );
        Process::start("agent", &name, &settings)?;
    }
    let ends_at = Instant::now() + PLAY_TIME;
    let mut shifted_at = Instant::now();
    while Instant::now() < ends_at {
        // The play ends early once the rule is broken.
        if wait_until(Duration::from_millis(200), || group.results().1 > 0) {
            break;
        }
        if shifted_at.elapsed() >= SHIFT {
            shifted_at = Instant::now();
            group.shift();
        }
    }
    let ((switches, mixed), (late, extra)) = (group.results(), group.counts());
    record.line(&format!(
        "{switches} switches, {late} orders carried out late, {extra} answers written twice, \
         {mixed} passes with different maps"
    ));
    Ok(match (switches, mixed) {
        (0..3, 0) => Verdict::NotRun("the group hardly switched".into()),
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// Registers the ranks and beats until the process ends.
fn beat(store: &Store, ranks: &[SocketAddr]) {
    let (store, ranks) = (store.clone(), ranks.to_vec());
    std::thread::spawn(move || {
        for beat in 1_u64.. {
            for (rank, address) in ranks.iter().enumerate() {
                let entry = format!(
                    "{{\"service\":\"helper-llm\",\"address\":\"{address}\",\"zone\":\"brum\",\
                     \"version\":\"v1\",\"slots\":12,\"state\":\"ready\",\"cold_left_ms\":0,\
                     \"stage\":\"mixed\",\"models\":[{{\"name\":\"m\",\"version\":1,\
                     \"adapters\":[]}}],\"seq\":{beat},\"born\":1764936000000}}"
                );
                store.put(&format!("servers/i-{rank}"), &entry);
            }
            std::thread::sleep(Duration::from_millis(1_200));
        }
    });
}
