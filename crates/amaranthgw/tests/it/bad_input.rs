use http::Method;

use crate::env::{CallerClient, TestFleet, eventually};

const GENERATE_PATH: &str = "/v1/services/draft-llm/generate";
const VALID_BODY: &str = r#"{"prompt":"a","max_tokens":1}"#;
const WORKSPACE: (&str, &str) = ("x-workspace", "care-homes");

/// Invalid request with the error that it must get.
struct BadCall<'a> {
    method: Method,
    path: &'a str,
    headers: &'a [(&'a str, &'a str)],
    body: &'a str,
    status: u16,
    code: &'a str,
}

impl<'a> BadCall<'a> {
    fn new(status: u16, code: &'a str) -> Self {
        Self {
            method: Method::POST,
            path: GENERATE_PATH,
            headers: &[WORKSPACE],
            body: VALID_BODY,
            status,
            code,
        }
    }

    fn with_method(self, method: Method) -> Self {
        Self { method, ..self }
    }

    fn with_path(self, path: &'a str) -> Self {
        Self { path, ..self }
    }

    fn with_headers(self, headers: &'a [(&'a str, &'a str)]) -> Self {
        Self { headers, ..self }
    }

    fn with_body(self, body: &'a str) -> Self {
        Self { body, ..self }
    }
}

impl BadCall<'_> {
    async fn check(&self, caller: &CallerClient) {
        let body = self.body.to_owned();
        let answer = caller
            .send(self.method.clone(), self.path, self.headers, body)
            .await;
        let answer = answer.expect("an answer");
        let (code, outcome) = answer.error();
        let actual = (answer.status.as_u16(), code.as_str(), outcome.as_str());
        assert_eq!(
            actual,
            (self.status, self.code, "not_run"),
            "{} {:?}",
            self.path,
            self.headers
        );
    }
}

/// Invalid requests must get typed errors and must not reach a target.
#[tokio::test]
async fn answer_bad_input_with_typed_errors() {
    let fleet = TestFleet::start("bad-input").await;
    let large = "x".repeat(2 * 1024 * 1024);
    let bad = BadCall::new;
    let cases = [
        bad(405, "wrong_method").with_method(Method::GET),
        bad(404, "unknown_path").with_path("/v1/nothing"),
        bad(404, "unknown_service").with_path("/v1/services/x/call"),
        bad(400, "wrong_kind").with_path("/v1/services/draft-llm/call"),
        bad(400, "bad_header").with_headers(&[]),
        bad(400, "bad_header").with_headers(&[("x-workspace", "a b")]),
        bad(403, "unknown_workspace").with_headers(&[("x-workspace", "nobody")]),
        bad(400, "bad_header").with_headers(&[WORKSPACE, ("x-deadline-ms", "soon")]),
        bad(504, "deadline_expired").with_headers(&[WORKSPACE, ("x-deadline-ms", "0")]),
        bad(400, "bad_header").with_headers(&[WORKSPACE, ("idempotency-key", "a b")]),
        bad(400, "bad_body").with_body("not json"),
        bad(400, "bad_body").with_body(r#"{"prompt":"a","max_tokens":0}"#),
        bad(413, "body_too_large").with_body(&large),
    ];
    for case in &cases {
        case.check(&fleet.caller(0)).await;
    }
    // The entry gives a request without an identifier one that starts with "r-".
    for target in &fleet.targets {
        let log = target
            .client()
            .get("/admin/log")
            .await
            .expect("a log")
            .to_string();
        assert!(
            !log.contains("r-"),
            "an unnamed request was forwarded: {log}"
        );
    }
    fleet.wait_until_ready().await;
}

/// Bytes that are not HTTP must not stop the entry.
#[tokio::test]
async fn refuse_malformed_http_and_stay_up() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let fleet = TestFleet::start("malformed").await;
    let address = fleet.entries[0].process.address("listening");
    for text in [
        "nonsense\r\n\r\n",
        "POST / HTTP/9.9\r\n\r\n",
        "POST /\0 HTTP/1.1\r\n\r\n",
    ] {
        let mut stream = tokio::net::TcpStream::connect(address)
            .await
            .expect("a connection");
        stream
            .write_all(text.as_bytes())
            .await
            .expect("text is sent");
        let mut answer = Vec::new();
        stream
            .read_to_end(&mut answer)
            .await
            .expect("the connection is closed");
        let answer = String::from_utf8_lossy(&answer).into_owned();
        assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 400"),
            "{answer}"
        );
    }
    eventually("ready entry", || async {
        let ready = fleet
            .caller(0)
            .send(Method::GET, "/readyz", &[], "")
            .await?;
        ready.status.is_success().then_some(())
    })
    .await;
}
