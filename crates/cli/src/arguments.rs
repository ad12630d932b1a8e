//! The command line's grammar.

use std::path::PathBuf;

use bpaf::Bpaf;
use state::{DataCentreId, JobId, KeyId, PoolId, QueueId, TeamId, VmId};

/// Manages a fleet through its daemons, and hands in jobs.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct Options {
    /// IP address and port of a daemon; may be given more than once, and the
    /// next is asked when one does not answer.
    #[bpaf(long, argument("ADDRESS"))]
    pub(crate) daemon: Vec<String>,
    /// File with the key to show.
    #[bpaf(long, argument("FILE"))]
    pub(crate) key_file: Option<PathBuf>,
    /// Prints JSON, one document.
    #[bpaf(long)]
    pub(crate) json: bool,
    #[bpaf(external)]
    pub(crate) command: Command,
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum Command {
    /// The list of customers' plans.
    #[bpaf(command("plans"))]
    Plans(#[bpaf(external(list_action))] ListAction),
    /// The list of what each plan may use.
    #[bpaf(command("grants"))]
    Grants(#[bpaf(external(list_action))] ListAction),
    /// Keys.
    #[bpaf(command("key"))]
    Key(#[bpaf(external(key_action))] KeyAction),
    /// Takes data centres out and back.
    #[bpaf(command("data-centre"))]
    DataCentre(#[bpaf(external(data_centre_action))] DataCentreAction),
    /// Takes pools out and back.
    #[bpaf(command("pool"))]
    Pool(#[bpaf(external(pool_action))] PoolAction),
    /// Drains, reboots, moves and returns VMs.
    #[bpaf(command("vm"))]
    Vm(#[bpaf(external(vm_command))] VmCommand),
    /// Shows a daemon's view.
    #[bpaf(command("status"))]
    Status,
    /// Shows the measures.
    #[bpaf(command("measures"))]
    Measures,
    /// Shows the configuration in force.
    #[bpaf(command("config"))]
    Config,
    /// Jobs.
    #[bpaf(command("job"))]
    Job(#[bpaf(external(job_action))] JobAction),
    /// Queues, and jobs of steps on them; the daemons' internal addresses serve these.
    #[bpaf(command("queue"))]
    Queue(#[bpaf(external(queue_action))] QueueAction),
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum QueueAction {
    /// Only checks a job's file.
    #[bpaf(command("check"))]
    Check {
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Hands in the job in a file; it is durable when this returns. The same name
    /// again is the same job.
    #[bpaf(command("submit"))]
    Submit {
        #[bpaf(positional("QUEUE"))]
        queue: QueueId,
        #[bpaf(positional("JOB"))]
        job: JobId,
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Shows a job, or how many jobs of the queue have not begun.
    #[bpaf(command("show"))]
    Show {
        #[bpaf(positional("QUEUE"))]
        queue: QueueId,
        #[bpaf(positional("JOB"))]
        job: Option<JobId>,
    },
    /// Shows a job each time its phase changes, until it has ended.
    #[bpaf(command("watch"))]
    Watch {
        #[bpaf(positional("QUEUE"))]
        queue: QueueId,
        #[bpaf(positional("JOB"))]
        job: JobId,
    },
    /// Withdraws a job.
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
    /// Only checks a file, and lists every fault with its line.
    #[bpaf(command("check"))]
    Check {
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Puts a file in force.
    #[bpaf(command("apply"))]
    Apply {
        /// Only shows what would change.
        #[bpaf(long)]
        dry_run: bool,
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum KeyAction {
    /// Makes a key for a team, puts it in force and shows its text once.
    #[bpaf(command("give"))]
    Give {
        /// The team.
        #[bpaf(long, argument("TEAM"))]
        team: TeamId,
        #[bpaf(positional("KEY_ID"))]
        key: KeyId,
    },
    /// Makes a key stop working.
    #[bpaf(command("withdraw"))]
    Withdraw {
        #[bpaf(positional("KEY_ID"))]
        key: KeyId,
    },
    /// Makes an operators' key: shows its text and the hash for the settings.
    #[bpaf(command("hash"))]
    Hash,
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum DataCentreAction {
    /// Takes a data centre out.
    #[bpaf(command("out"))]
    Out {
        #[bpaf(positional("DATA_CENTRE"))]
        data_centre: DataCentreId,
    },
    /// Takes a data centre back.
    #[bpaf(command("back"))]
    Back {
        #[bpaf(positional("DATA_CENTRE"))]
        data_centre: DataCentreId,
    },
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum PoolAction {
    /// Takes a pool out.
    #[bpaf(command("out"))]
    Out {
        #[bpaf(positional("POOL"))]
        pool: PoolId,
    },
    /// Takes a pool back.
    #[bpaf(command("back"))]
    Back {
        #[bpaf(positional("POOL"))]
        pool: PoolId,
    },
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum VmCommand {
    /// Drains a VM and holds it.
    #[bpaf(command("drain"))]
    Drain {
        #[bpaf(positional("VM"))]
        vm: VmId,
    },
    /// Drains, reboots and returns a VM.
    #[bpaf(command("reboot"))]
    Reboot {
        #[bpaf(positional("VM"))]
        vm: VmId,
    },
    /// Drains and reboots a VM, and returns it in another pool.
    #[bpaf(command("move"))]
    Move {
        #[bpaf(positional("VM"))]
        vm: VmId,
        #[bpaf(positional("POOL"))]
        to: PoolId,
    },
    /// Returns a held VM.
    #[bpaf(command("return"))]
    Return {
        #[bpaf(positional("VM"))]
        vm: VmId,
    },
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) enum JobAction {
    /// Hands in a job; it is durable when this returns.
    #[bpaf(command("submit"))]
    Submit {
        /// The pool whose workers may run it.
        #[bpaf(long, argument("POOL"))]
        pool: PoolId,
        /// Declared cores.
        #[bpaf(long, argument("CORES"), fallback(1))]
        cores: u32,
        /// Declared memory in MiB.
        #[bpaf(long, argument("MIB"), fallback(256))]
        memory: u32,
        /// Declared accelerators.
        #[bpaf(long, argument("COUNT"), fallback(0))]
        accelerators: u32,
        /// Declared run time in milliseconds.
        #[bpaf(long, argument("MS"), fallback(60000))]
        run_ms: u64,
        #[bpaf(positional("JOB"))]
        job: JobId,
        #[bpaf(positional("COMMAND"))]
        command: String,
    },
    /// Shows a job.
    #[bpaf(command("show"))]
    Show {
        #[bpaf(positional("JOB"))]
        job: JobId,
    },
    /// Shows a job each time its state changes, until it has ended.
    #[bpaf(command("watch"))]
    Watch {
        #[bpaf(positional("JOB"))]
        job: JobId,
    },
    /// Withdraws a job.
    #[bpaf(command("cancel"))]
    Cancel {
        #[bpaf(positional("JOB"))]
        job: JobId,
    },
}
