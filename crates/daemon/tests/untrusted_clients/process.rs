//! Daemon process of a test: settings, start, measurements by the operating system, and end.

use std::fs;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Lets one test at a time start a process, so that the crowds don't disturb each other.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
/// How often the start of a daemon is checked, and how many times at most.
const START_POLL: Duration = Duration::from_millis(50);
const MAX_START_POLLS: usize = 1_200;

/// Where the standard output of a daemon goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogReader {
    /// To a file.
    File,
    /// To a pipe that nobody reads.
    Silent,
    /// To a pipe whose reader closes it once the daemon listens.
    Closed,
}

/// Running daemon, which ends with this value, also when the test fails.
pub struct TestDaemon {
    child: Child,
    directory: PathBuf,
    addresses: Vec<SocketAddr>,
    _turn: MutexGuard<'static, ()>,
}

impl TestDaemon {
    /// Starts `pollenfalld --platform` with the given limits and no store. Its addresses are
    /// those of submitters, readiness and the internal interface.
    ///
    /// `descriptor_limit` is the limit that the operating system enforces on the process.
    pub fn start_on_platform(limits: &str, descriptor_limit: Option<u32>) -> Self {
        Self::start_with_log(limits, descriptor_limit, LogReader::File)
    }

    /// Like [`Self::start_on_platform`], with the standard output to `reader`.
    pub fn start_with_log(limits: &str, descriptor_limit: Option<u32>, reader: LogReader) -> Self {
        let turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let ports = find_free_ports(4);
        let settings = format!(
            "Node=edge-1\nZone=a\nListen.Frontend={}\nListen.Ready={}\nInternalPorts={}\n\
             Bounds.HoldMaxMs=10000\nplatform.Address={}\n{limits}\n",
            ports[0],
            ports[1],
            ports[2].port(),
            ports[3],
        );
        let directory = create_directory();
        let path = directory.join("node.conf");
        fs::write(&path, settings).expect("write the settings");
        let binary = env!("CARGO_BIN_EXE_pollenfalld");
        let mut command = match descriptor_limit {
            None => Command::new(binary),
            Some(limit) => {
                let mut shell = Command::new("sh");
                shell.arg("-c").arg(format!("ulimit -n {limit} && exec \"$0\" \"$@\"")).arg(binary);
                shell
            }
        };
        command.arg("--platform").env("POLLENFALL_NODE_FILE", path);
        Self::spawn(command, directory, ports[..3].to_vec(), turn, reader)
    }

    /// Starts `pollenfalld --settings` without a platform, on a VM of 96 MB. Its addresses are `listen` and
    /// `peer_listen`.
    pub fn start_product() -> Self {
        let turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let ports = find_free_ports(3);
        let operator_key = format!("{}:{}", "0".repeat(32), "0".repeat(64));
        let settings = format!(
            r#"{{ "daemon": "entry-1", "vm": "vm-1", "data_centre": "a", "listen": "{}",
                "peer_listen": "{}", "platform": "{}", "operator_key": "{operator_key}",
                "vm_memory_mb": 96, "vm_descriptors": 400 }}"#,
            ports[0], ports[1], ports[2],
        );
        let directory = create_directory();
        let path = directory.join("pollenfalld.jsonc");
        fs::write(&path, settings).expect("write the settings");
        let mut command = Command::new(env!("CARGO_BIN_EXE_pollenfalld"));
        command.arg("--settings").arg(path);
        Self::spawn(command, directory, ports[..2].to_vec(), turn, LogReader::File)
    }

    fn spawn(
        mut command: Command,
        directory: PathBuf,
        addresses: Vec<SocketAddr>,
        turn: MutexGuard<'static, ()>,
        reader: LogReader,
    ) -> Self {
        let log = fs::File::create(directory.join("log")).expect("create the log file");
        let errors = log.try_clone().expect("share the log file");
        let child = command
            .stdin(Stdio::null())
            .stdout(if reader == LogReader::File { Stdio::from(log) } else { Stdio::piped() })
            .stderr(Stdio::from(errors))
            .spawn()
            .expect("start the daemon");
        let mut daemon = Self { child, directory, addresses, _turn: turn };
        daemon.wait_until_listening();
        if reader == LogReader::Closed {
            drop(daemon.child.stdout.take());
        }
        daemon
    }

    fn wait_until_listening(&mut self) {
        for address in self.addresses.clone() {
            let mut polls = 0;
            while TcpStream::connect(address).is_err() {
                polls += 1;
                assert!(polls < MAX_START_POLLS, "the daemon does not listen: {}", self.read_log());
                assert!(self.is_alive(), "the daemon ended at its start: {}", self.read_log());
                sleep(START_POLL);
            }
        }
    }

    pub fn address(&self, index: usize) -> SocketAddr {
        self.addresses[index]
    }

    pub fn is_alive(&mut self) -> bool {
        self.child.try_wait().expect("query the daemon").is_none()
    }

    /// Sends SIGTERM, and returns whether the daemon ends with success within `timeout`.
    pub fn stops_within(&mut self, timeout: Duration) -> bool {
        let id = self.child.id().to_string();
        Command::new("kill").args(["-TERM", &id]).status().expect("send the signal");
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().expect("query the daemon") {
                return status.success();
            }
            sleep(START_POLL);
        }
        false
    }

    /// Returns the largest resident memory that the process has had, in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).expect("read the status of the daemon");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let text = line.expect("a peak of the memory").trim().trim_end_matches(" kB");
        text.parse().expect("the peak is a number")
    }

    pub fn count_descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        fs::read_dir(path).expect("read the descriptors of the daemon").count()
    }

    fn read_log(&self) -> String {
        fs::read_to_string(self.directory.join("log")).unwrap_or_default()
    }
}

impl Drop for TestDaemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn find_free_ports(count: usize) -> Vec<SocketAddr> {
    let bind = |_| TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let listeners: Vec<TcpListener> = (0..count).map(bind).collect();
    listeners.iter().map(|listener| listener.local_addr().expect("a local address")).collect()
}

fn create_directory() -> PathBuf {
    let base = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let directory = base.join(format!("untrusted-clients-{}", std::process::id()));
    fs::create_dir_all(&directory).expect("create a directory for the settings");
    directory
}
