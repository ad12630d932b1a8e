//! Runs `pollenfall check` as a process and checks its output and exit codes.
//!
//! Guards against findings that a script does not notice, because the exit code says that there are
//! none, and against commands that judge one file differently.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};

use rstest::rstest;

/// Directory for the files of one test, removed at its end.
struct TestFolder(PathBuf);

/// Number of folders so far, since tests that run at the same time must not share one.
static FOLDERS: AtomicU32 = AtomicU32::new(0);

impl TestFolder {
    fn new() -> Self {
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let name = format!("check-{}-{number}", std::process::id());
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&path).expect("the folder is created");
        Self(path)
    }

    fn write(&self, name: &str, bytes: impl AsRef<[u8]>) {
        std::fs::write(self.0.join(name), bytes).expect("the file is written");
    }

    fn run(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pollenfall"));
        command.args(arguments).current_dir(&self.0);
        command.output().expect("the pollenfall program starts")
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn render(output: &Output) -> String {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    format!(
        "exit code {:?}\n--- output\n{}--- errors\n{}",
        output.status.code(),
        text(&output.stdout),
        text(&output.stderr)
    )
}

const GOOD_PLANS: &str = r#"{ "teams": { "a": { "plan": "p", "share": 1, "limit": 8 } } }"#;
const BAD_PLANS: &str = r#"{ "teams": { "a": { "plam": "p", "share": 1, "limit": 0 } } }"#;
const WARNED_PLANS: &str = r#"{ "teams": { "a": { "plan": "p", "share": 1, "limit": 0 } } }"#;
const BAD_JOB: &str = r#"{ "payload": "", "steps": [{ "tasks": 0 }] }"#;

#[rstest]
#[case::no_findings("no_findings", &["check", "good.jsonc"])]
#[case::findings("findings", &["check", "good.jsonc", "bad.jsonc", "warned.jsonc", "job.jsonc"])]
#[case::warning("warning", &["check", "warned.jsonc"])]
#[case::unreadable("unreadable", &["check", "none.jsonc", "bad.jsonc"])]
#[case::folder("folder", &["check", "."])]
#[case::binary("binary", &["check", "binary"])]
#[case::differences("differences", &["check", "warned.jsonc", "--against", "good.jsonc"])]
#[case::no_differences("no_differences", &["check", "good.jsonc", "--against", "good.jsonc"])]
#[case::json("json", &["--json", "check", "warned.jsonc", "none.jsonc", "--against", "good.jsonc"])]
#[case::kind("kind", &["check", "--kind", "job", "good.jsonc"])]
#[case::unknown_kind("unknown_kind", &["check", "--kind", "plan", "good.jsonc"])]
#[case::no_file("no_file", &["check"])]
#[case::help("help", &["check", "--help"])]
#[case::plans("plans", &["plans", "check", "bad.jsonc"])]
#[case::plans_warned("plans_warned", &["plans", "check", "warned.jsonc"])]
#[case::grants("grants", &["grants", "check", "bad.jsonc"])]
#[case::queue("queue", &["queue", "check", "job.jsonc"])]
fn output_and_exit_code(#[case] name: &str, #[case] arguments: &[&str]) {
    let folder = TestFolder::new();
    folder.write("good.jsonc", GOOD_PLANS);
    folder.write("bad.jsonc", BAD_PLANS);
    folder.write("warned.jsonc", WARNED_PLANS);
    folder.write("job.jsonc", BAD_JOB);
    folder.write("binary", [0xff, 0, 1]);
    insta::assert_snapshot!(format!("check_{name}"), render(&folder.run(arguments)));
}

/// A daemon that is named and does not answer leaves the comparison open, which must not look like
/// a check without findings.
#[test]
fn daemon_that_does_not_answer() {
    let folder = TestFolder::new();
    folder.write("good.jsonc", GOOD_PLANS);
    // Nothing listens on port 1 of the loopback address.
    let output = folder.run(&["--daemon", "127.0.0.1:1", "check", "good.jsonc"]);
    assert_eq!(output.status.code(), Some(4));
    assert!(!output.stderr.is_empty());
}

/// Answers one HTTP request on a loopback address, as a daemon does, and returns the address.
fn answer_once(body: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut head = BufReader::new(stream.try_clone().expect("a second handle")).lines();
        let request = head.next().expect("a line").expect("text");
        assert!(request.starts_with("GET /control/config "), "{request}");
        head.find(|line| line.as_ref().is_ok_and(String::is_empty));
        let length = body.len();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\
             Connection: close\r\n\r\n{body}"
        );
        stream.write_all(answer.as_bytes()).expect("the answer is sent");
    });
    address
}

/// Guards against a comparison that ignores the daemon: with a daemon, the lists are judged on top
/// of the configuration in force.
#[test]
fn lists_are_compared_with_a_daemon() {
    let folder = TestFolder::new();
    folder.write("warned.jsonc", WARNED_PLANS);
    let address = answer_once(
        r#"{ "revision": 4, "config": {
        "teams": { "a": { "plan": "p", "share": 1, "limit": 8 },
                   "b": { "plan": "p", "share": 1, "limit": 8 } },
        "plans": { "p": { "pools": [], "priority": "urgent" } }, "pools": {},
        "keys": { "k-b": { "team": "b", "salt": "s", "digest": "5ec2e7" } },
        "out_data_centres": [], "out_pools": [], "changes": [] } }"#,
    );
    let output = folder.run(&["--daemon", &address, "check", "warned.jsonc"]);
    insta::assert_snapshot!(render(&output));
}

/// Guards against an option that a script misspells and takes for findings: the exit code of wrong
/// usage is 2 in all commands.
#[rstest]
#[case(&["check"])]
#[case(&["check", "--kinds", "job", "good.jsonc"])]
#[case(&["vm", "drain"])]
fn wrong_usage_has_its_exit_code(#[case] arguments: &[&str]) {
    let folder = TestFolder::new();
    assert_eq!(folder.run(arguments).status.code(), Some(2));
}
