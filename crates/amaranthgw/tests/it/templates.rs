//! The binary started on settings that are rendered from the templates of the deploy file.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::{Value, json};
use tokio::net::TcpStream;
use yare::parameterized;

use crate::env::{TestProcess, eventually};

/// Port of the metrics in both templates.
const METRICS_PORT: u16 = 7341;

/// Fields of the platform for a VM at `ip`; all bounds have a fraction.
fn fields(ip: &str) -> Vec<(&'static str, Value)> {
    let address = |port: u16| json!(format!("{ip}:{port}"));
    vec![
        ("node_name", json!("vm-1")),
        ("zone", json!("domain-a")),
        ("ip", json!(ip)),
        ("listen.front", address(8227)),
        ("listen.ready", address(8220)),
        ("listen.control", address(8229)),
        ("platform.address", address(8223)),
        ("seeds", json!([address(8229)])),
        ("service", json!("draft")),
        ("app", address(8300)),
        ("bounds.grace_s", json!(8.5)),
        ("bounds.budget_ratio", json!(0.25)),
        ("bounds.budget_slack", json!(88.5)),
        ("bounds.budget_window_s", json!(10.5)),
        ("bounds.fencing", json!(true)),
    ]
}

/// Renders the template of `role` for a VM at `ip` to a file; returns its path.
fn render(role: &str, ip: &str) -> PathBuf {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let template = root.join(format!("deploy/{role}.jsonc"));
    let mut text = std::fs::read_to_string(template).expect("a template");
    for (name, value) in fields(ip) {
        let plain = value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned);
        text = text.replace(&format!("{{{{{name}|json}}}}"), &value.to_string());
        text = text.replace(&format!("{{{{{name}}}}}"), &plain);
    }
    assert!(!text.contains("{{"), "a field is missing: {text}");
    let file = format!("amaranthgw-template-{}-{role}.jsonc", std::process::id());
    let path = std::env::temp_dir().join(file);
    std::fs::write(&path, text).expect("a file");
    path
}

// Guards against processes that end at each start, as a bound of the platform has a fraction.
#[parameterized(
    gateway = { "gateway", "127.77.0.1" },
    agent = { "agent", "127.77.0.2" },
)]
#[test_macro(tokio::test)]
async fn start_fractional_bounds(role: &str, ip: &str) {
    let file = render(role, ip);
    let settings = file.to_str().expect("a path in UTF-8");
    let mut process = TestProcess::start(&[role, "--settings", settings], &[]);
    let address = SocketAddr::new(ip.parse().expect("an address"), METRICS_PORT);
    let connection = || {
        assert_eq!(process.exit_code(), None, "the process has ended");
        async move { TcpStream::connect(address).await.ok() }
    };
    eventually("a connection", connection).await;
    // Holds only a test's settings.
    let _removed = std::fs::remove_file(file);
}
