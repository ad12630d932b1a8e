//! Command-line arguments. The doc comments are the help texts of the program.

use std::path::PathBuf;

use bpaf::Bpaf;
use check::FileKind;
use state::{DataCentreId, JobId, KeyId, PoolId, QueueId, TeamId, VmId};

/// Operates a fleet through its daemons, and submits jobs.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct Options {
    /// IP address and port of a daemon; may be given more than once. When a daemon does not
    /// answer, the request goes to the next one.
    #[bpaf(long, argument("ADDRESS"))]
    pub(crate) daemon: Vec<String>,
    /// File with the key that authenticates requests.
    #[bpaf(long, argument("FILE"))]
    pub(crate) key_file: Option<PathBuf>,
    /// Prints each answer as one JSON document.
    #[bpaf(long)]
    pub(crate) json: bool,
    #[bpaf(external)]
    pub(crate) command: Command,
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum Command {
    /// Checks configuration files before they are sent, and lists every finding with its line.
    #[bpaf(command("check"), footer(CHECK_EXAMPLES))]
    Check(#[bpaf(external(check_arguments))] CheckArguments),
    /// Checks or applies the list of customers' plans.
    #[bpaf(command("plans"))]
    Plans(#[bpaf(external(list_action))] ListAction),
    /// Checks or applies the list of grants: what each plan may use.
    #[bpaf(command("grants"))]
    Grants(#[bpaf(external(list_action))] ListAction),
    /// Creates and withdraws keys.
    #[bpaf(command("key"))]
    Key(#[bpaf(external(key_action))] KeyAction),
    /// Takes data centres out of service and back into service.
    #[bpaf(command("data-centre"))]
    DataCentre(#[bpaf(external(data_centre_action))] DataCentreAction),
    /// Takes pools out of service and back into service.
    #[bpaf(command("pool"))]
    Pool(#[bpaf(external(pool_action))] PoolAction),
    /// Drains, reboots, moves and returns VMs.
    #[bpaf(command("vm"))]
    Vm(#[bpaf(external(vm_command))] VmCommand),
    /// Shows the state of the fleet as one daemon sees it.
    #[bpaf(command("status"))]
    Status,
    /// Shows the counters of one daemon.
    #[bpaf(command("measures"))]
    Measures,
    /// Shows the configuration in force.
    #[bpaf(command("config"))]
    Config,
    /// Submits, shows and cancels jobs that run one command each.
    #[bpaf(command("job"))]
    Job(#[bpaf(external(job_action))] JobAction),
    /// Submits, shows and cancels queued jobs of several steps, through a daemon's internal
    /// address.
    #[bpaf(command("queue"))]
    Queue(#[bpaf(external(queue_action))] QueueAction),
}

/// Examples of `pollenfall check`, for its help text.
const CHECK_EXAMPLES: &str = "Examples:
  pollenfall check examples/brabant/plans.jsonc examples/brabant/grants.jsonc
  pollenfall check config.json --against config-in-force.json --vms machines.json
  pollenfall --daemon 10.1.0.23:7101 --json check plans.jsonc
 With --daemon, lists are also compared with the configuration in force.
 Exit codes: 0 no findings, 1 findings, 2 a file cannot be read, 4 no daemon answered.";

#[derive(Debug, Clone, Bpaf)]
pub(crate) struct CheckArguments {
    /// Kind of all files: plans, grants, config, settings, job, platform-config or wave. Without
    /// this option the kind of each file is recognised by its content.
    #[bpaf(long, argument("KIND"))]
    pub(crate) kind: Option<FileKind>,
    /// File with the version in force, from which the differences are shown; may be given more
    /// than once. Each file is compared with the one of its kind.
    #[bpaf(long, argument("FILE"))]
    pub(crate) against: Vec<PathBuf>,
    /// File with the list of VMs, with which labels, sizes and pools are compared.
    #[bpaf(long, argument("FILE"))]
    pub(crate) vms: Option<PathBuf>,
    /// Time that one VM is down in a maintenance wave, in milliseconds; 1500 if it is not given.
    #[bpaf(long, argument("MS"), fallback(1500))]
    pub(crate) maintenance_ms: u64,
    /// Files to check.
    #[bpaf(positional("FILE"), some("name at least one file"))]
    pub(crate) files: Vec<PathBuf>,
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum QueueAction {
    /// Checks a job's file without submitting the job.
    #[bpaf(command("check"))]
    Check {
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Submits the job in a file. The job is durable when the command returns; a second
    /// submission under the same name refers to the same job.
    #[bpaf(command("submit"))]
    Submit {
        #[bpaf(positional("QUEUE"))]
        queue: QueueId,
        #[bpaf(positional("JOB"))]
        job: JobId,
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Shows a job's phase, or the number of the queue's jobs that have not begun.
    #[bpaf(command("show"))]
    Show {
        #[bpaf(positional("QUEUE"))]
        queue: QueueId,
        #[bpaf(positional("JOB"))]
        job: Option<JobId>,
    },
    /// Shows a job each time its phase changes, until the job has ended.
    #[bpaf(command("watch"))]
    Watch {
        #[bpaf(positional("QUEUE"))]
        queue: QueueId,
        #[bpaf(positional("JOB"))]
        job: JobId,
    },
    /// Cancels a job.
    #[bpaf(command("cancel"))]
    Cancel {
        #[bpaf(positional("QUEUE"))]
        queue: QueueId,
        #[bpaf(positional("JOB"))]
        job: JobId,
    },
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum ListAction {
    /// Checks a file, and lists every fault with its line.
    #[bpaf(command("check"))]
    Check {
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Puts the list in a file in force.
    #[bpaf(command("apply"))]
    Apply {
        /// Shows what would change, without changing anything.
        #[bpaf(long)]
        dry_run: bool,
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum KeyAction {
    /// Creates a key for a team, puts the key in force and shows its text once.
    #[bpaf(command("give"))]
    Give {
        /// Team that may use the key.
        #[bpaf(long, argument("TEAM"))]
        team: TeamId,
        #[bpaf(positional("KEY_ID"))]
        key: KeyId,
    },
    /// Withdraws a key, so that daemons refuse it.
    #[bpaf(command("withdraw"))]
    Withdraw {
        #[bpaf(positional("KEY_ID"))]
        key: KeyId,
    },
    /// Creates an operators' key; shows the key's text and its hash for the daemons' settings.
    #[bpaf(command("hash"))]
    Hash,
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum DataCentreAction {
    /// Takes a data centre out of service.
    #[bpaf(command("out"))]
    Out {
        #[bpaf(positional("DATA_CENTRE"))]
        data_centre: DataCentreId,
    },
    /// Takes a data centre back into service.
    #[bpaf(command("back"))]
    Back {
        #[bpaf(positional("DATA_CENTRE"))]
        data_centre: DataCentreId,
    },
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum PoolAction {
    /// Takes a pool out of service.
    #[bpaf(command("out"))]
    Out {
        #[bpaf(positional("POOL"))]
        pool: PoolId,
    },
    /// Takes a pool back into service.
    #[bpaf(command("back"))]
    Back {
        #[bpaf(positional("POOL"))]
        pool: PoolId,
    },
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum VmCommand {
    /// Drains a VM and holds it out of service.
    #[bpaf(command("drain"))]
    Drain {
        #[bpaf(positional("VM"))]
        vm: VmId,
    },
    /// Drains and reboots a VM, then returns it to service.
    #[bpaf(command("reboot"))]
    Reboot {
        #[bpaf(positional("VM"))]
        vm: VmId,
    },
    /// Drains and reboots a VM, then returns it to service in another pool.
    #[bpaf(command("move"))]
    Move {
        #[bpaf(positional("VM"))]
        vm: VmId,
        #[bpaf(positional("POOL"))]
        to: PoolId,
    },
    /// Returns a held VM to service.
    #[bpaf(command("return"))]
    Return {
        #[bpaf(positional("VM"))]
        vm: VmId,
    },
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum JobAction {
    /// Submits a job; the job is durable when the command returns.
    #[bpaf(command("submit"))]
    Submit {
        /// Pool whose workers may run the job.
        #[bpaf(long, argument("POOL"))]
        pool: PoolId,
        /// Number of cores that the job needs.
        #[bpaf(long, argument("CORES"), fallback(1))]
        cores: u32,
        /// Memory that the job needs, in MiB.
        #[bpaf(long, argument("MIB"), fallback(256))]
        memory: u32,
        /// Number of accelerators that the job needs.
        #[bpaf(long, argument("COUNT"), fallback(0))]
        accelerators: u32,
        /// Declared run time of the job, in milliseconds.
        #[bpaf(long, argument("MS"), fallback(60000))]
        run_ms: u64,
        #[bpaf(positional("JOB"))]
        job: JobId,
        #[bpaf(positional("COMMAND"))]
        command: String,
    },
    /// Shows a job's state.
    #[bpaf(command("show"))]
    Show {
        #[bpaf(positional("JOB"))]
        job: JobId,
    },
    /// Shows a job each time its state changes, until the job has ended.
    #[bpaf(command("watch"))]
    Watch {
        #[bpaf(positional("JOB"))]
        job: JobId,
    },
    /// Cancels a job.
    #[bpaf(command("cancel"))]
    Cancel {
        #[bpaf(positional("JOB"))]
        job: JobId,
    },
}
