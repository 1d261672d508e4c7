//! Tests of the commands, with the tool as a process.

use {
    crate::support::{Fixture, run},
    jujubeline_cli::COMMANDS,
    jujubeline_standin::platform::{Faults, Outage},
    serde_json::Value,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        task::JoinSet,
    },
};

/// Guards against a command of the table that is missing from the parser or from the help.
#[tokio::test]
async fn every_command_has_help() {
    for command in &COMMANDS {
        let path: Vec<&str> = command.group.into_iter().chain([command.name]).collect();
        let result = run(None, &[&path[..], &["--help"]].concat()).await;
        assert_eq!(result.code, Some(0), "{path:?}");
        assert!(result.out.starts_with(command.help), "{}", result.out);
    }
    let version = run(None, &["--version"]).await;
    assert!(version.out.contains(env!("CARGO_PKG_VERSION")));
    let completion = run(None, &["--bpaf-complete-rev=8", "catalogue", "hi"]).await;
    assert!(completion.out.contains("history"), "{}", completion.out);
}

/// Guards against a wrong setting that is ignored, or reported without its flag, variable and value.
#[tokio::test]
async fn wrong_settings_are_usage_errors() {
    for (arguments, expected) in [
        (&["nonsense"][..], "nonsense"),
        (
            &["catalogue", "get"],
            "--platform-address (JUJUBELINE_PLATFORM_ADDRESS): is not given",
        ),
        (
            &["status", "--operators-address", "x:1"],
            "--operators-address (JUJUBELINE_OPERATORS_ADDRESS): \"x:1\"",
        ),
        (
            &["--output", "xml", "status"],
            "--output (JUJUBELINE_OUTPUT): \"xml\"",
        ),
    ] {
        let result = run(None, arguments).await;
        assert_eq!(result.code, Some(2), "{arguments:?}: {}", result.error);
        assert!(result.error.contains(expected), "{}", result.error);
    }
}

/// Guards against calls of the platform for an invalid file.
#[tokio::test]
async fn invalid_file_causes_no_platform_call() {
    let fixture = Fixture::start().await;
    let file = fixture.catalogue(&[("a", 0)]);
    for command in ["check", "diff", "apply"] {
        let result = fixture.run(&["catalogue", command, &file]).await;
        assert_eq!(result.code, Some(3));
        assert!(
            result.out.contains(":8: entry a.deadline_ms: 0 is not in"),
            "{}",
            result.out
        );
    }
    assert_eq!(fixture.platform.counts().calls, 0);
}

/// Guards against commands that show different catalogues as the one in effect.
#[tokio::test]
async fn get_diff_apply_and_history_agree() {
    let fixture = Fixture::start().await;
    let first = fixture.catalogue(&[("a", 5), ("b", 6)]);
    assert_eq!(
        fixture
            .run(&["catalogue", "apply", &first, "--author", "mai"])
            .await
            .code,
        Some(0)
    );
    let got = fixture.run(&["catalogue", "get"]).await.out;
    assert!(got.starts_with("# Revision 1; apply an edited copy with --based-on 1\n"));
    let edited = fixture.file(
        "edited.toml",
        &got.replace("deadline_ms = 6", "deadline_ms = 7"),
    );
    let diff = fixture.run(&["catalogue", "diff", &edited]).await;
    assert_eq!(diff.out, "  change b: deadline_ms 6 -> 7\n");
    let applied = fixture
        .run(&[
            "--output",
            "json",
            "catalogue",
            "apply",
            &edited,
            "--based-on",
            "1",
        ])
        .await;
    let applied: Value = serde_json::from_str(&applied.out).expect("JSON");
    assert_eq!(applied["result"], "accepted");
    let again = fixture.run(&["catalogue", "apply", &edited]).await;
    assert_eq!(
        (again.code, again.out.as_str()),
        (Some(0), "no difference to revision 2\n")
    );
    let history = fixture
        .run(&["catalogue", "history", "--output", "json"])
        .await
        .out;
    let history: Value = serde_json::from_str(&history).expect("JSON");
    assert_eq!(history[0]["author"], "mai");
    assert_eq!(history[1], applied["change"]);
}

/// Guards against a tool that hangs or reports success while the platform is down.
#[tokio::test]
async fn commands_fail_while_the_platform_is_down() {
    let fixture = Fixture::start().await;
    let file = fixture.catalogue(&[("a", 5)]);
    for down in [Outage::Unavailable, Outage::Closed, Outage::Silent] {
        fixture.faults(Faults {
            down,
            ..Faults::default()
        });
        let result = fixture.run(&["catalogue", "apply", &file]).await;
        assert_eq!(result.code, Some(1), "{down:?}: {}", result.error);
        assert!(
            result.error.contains("platform 127.0.0.1"),
            "{}",
            result.error
        );
    }
    let address = fixture.platform.address();
    assert_eq!(fixture.changes().len(), 0);
    fixture.platform.stop().await;
    assert_eq!(
        run(Some(address), &["catalogue", "get"]).await.code,
        Some(1)
    );
}

/// Requests that a stand-in node has received, in their order.
type Requests = Arc<Mutex<Vec<String>>>;

/// Starts a stand-in node that answers with these bodies in turn, and with the last one to all further requests.
async fn node(bodies: Vec<String>, tasks: &mut JoinSet<()>) -> (SocketAddr, Requests) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let served = Requests::default();
    let received = Arc::clone(&served);
    tasks.spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut request = [0; 1_024];
            let read = stream.read(&mut request).await.unwrap_or_default();
            let request = String::from_utf8_lossy(&request[..read]).into_owned();
            let index = {
                let mut received = received.lock().expect("the requests");
                received.push(request);
                received.len().min(bodies.len()) - 1
            };
            let body = &bodies[index];
            let answer = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    (address, served)
}

fn status(members: &[(&str, &str, u64)]) -> String {
    let members: Vec<Value> = members
        .iter()
        .map(|(node, presence, revision)| {
            serde_json::json!({"node": node, "presence": presence, "catalogue_revision": revision})
        })
        .collect();
    serde_json::json!({"node": "n1", "catalogue_revision": 1, "members": members}).to_string()
}

/// Guards against `--wait` that ends before every live member has the revision, or that waits for dead members.
#[tokio::test]
async fn wait_ends_when_every_live_member_reports_the_revision() {
    let fixture = Fixture::start().await;
    let mut tasks = JoinSet::new();
    let late = status(&[("n1", "alive", 1), ("n2", "suspect", 0), ("n3", "dead", 0)]);
    let done = status(&[("n1", "alive", 1), ("n2", "alive", 1), ("n3", "dead", 0)]);
    let (address, served) = node(vec!["{}".to_owned(), late, done], &mut tasks).await;
    let file = fixture.catalogue(&[("a", 5)]);
    let address = address.to_string();
    let result = fixture
        .run(&[
            "catalogue",
            "apply",
            &file,
            "--wait",
            "--operators-address",
            &address,
        ])
        .await;
    assert_eq!(result.code, Some(0), "{}", result.error);
    assert!(
        result
            .out
            .ends_with("revision 1 is in effect on 2 live members\n"),
        "{}",
        result.out
    );
    assert_eq!(served.lock().expect("the requests").len(), 3);
}

/// Guards against a lagging member that the error does not name.
#[tokio::test]
async fn wait_names_members_that_lag() {
    let fixture = Fixture::start().await;
    let mut tasks = JoinSet::new();
    let late = status(&[("n1", "alive", 1), ("n2", "alive", 0)]);
    let (address, _) = node(vec![late], &mut tasks).await;
    let file = fixture.catalogue(&[("a", 5)]);
    let address = address.to_string();
    let result = fixture
        .run(&[
            "--operators-address",
            &address,
            "catalogue",
            "apply",
            &file,
            "--wait",
            "--wait-s",
            "0",
        ])
        .await;
    assert_eq!(result.code, Some(6));
    assert!(
        result
            .error
            .contains("1 of 2 live members lag behind revision 1: n2 at 0"),
        "{}",
        result.error
    );
    let status = run(None, &["status", "--operators-address", &address]).await;
    assert!(status.out.contains("n2 alive revision 0"), "{}", status.out);
}

/// Guards against characters of the path that change the request to the node, and against an invalid answer that is
/// reported as success.
#[tokio::test]
async fn explain_sends_the_path_percent_encoded() {
    let mut tasks = JoinSet::new();
    let answer = r#"{"entry":"a","why":"same data centre"}"#;
    let (address, served) = node(vec![answer.to_owned(), "no JSON".to_owned()], &mut tasks).await;
    let address = address.to_string();
    let arguments = [
        "--operators-address",
        &address,
        "explain",
        "GET",
        "/a?b=1&c=d e/%2F",
    ];
    let result = run(None, &[&["--output", "json"], &arguments[..]].concat()).await;
    assert_eq!(
        (result.code, result.out.trim_end()),
        (Some(0), answer),
        "{}",
        result.error
    );
    let asked = served.lock().expect("the requests")[0].clone();
    let expected = "GET /explain?method=GET&path=%2Fa%3Fb%3D1%26c%3Dd%20e%2F%252F HTTP/1.1";
    assert!(asked.starts_with(expected), "{asked}");
    let refused = run(None, &arguments).await;
    assert_eq!(refused.code, Some(1));
    assert!(
        refused.error.contains(&format!("node {address}")),
        "{}",
        refused.error
    );
}
