//! Names the steps of all protocols, one for each row of the fault matrix.
//!
//! A new kind of effect does not compile until it has a step, and a test fails
//! for a new step without a row.

use crate::event::{CallDirective, Effect, PlatformRequest, WorkerRequest};
use crate::frame::FrameBody;

macro_rules! steps {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Kind of step by which a daemon acts outside its process.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
        pub enum ProtocolStep {
            $($(#[$doc])* $name,)*
        }

        impl ProtocolStep {
            /// All protocol steps.
            pub const ALL: &[ProtocolStep] = &[$(Self::$name,)*];
        }
    };
}

steps! {
    /// Reads a document from the store.
    ReadDocument,
    /// Writes the document of the configuration.
    WriteConfig,
    /// Writes the member document, the set of daemons.
    WriteMembers,
    /// Writes the document of the VM records.
    WriteFleet,
    /// Writes the document of a team: its limit and its jobs.
    WriteTeam,
    /// Writes the document of the slots of a pool.
    WriteSlots,
    /// Writes a document of claims.
    WriteClaims,
    /// Waits for changes of the shared documents.
    Watch,
    /// Reads the list of VMs from the platform.
    ListVms,
    /// Requests the reboot of a VM from the platform.
    Reboot,
    /// Polls a worker for its tasks.
    PollWorker,
    /// Starts a task on a worker.
    StartTask,
    /// Stops a task on a worker.
    StopTask,
    /// Sends a request to a minion.
    SendRequest,
    /// Answers a caller with a refusal, a stored answer or an unknown outcome.
    AnswerCaller,
    /// Answers an operator or a submitter.
    AnswerControl,
    /// Sends a heartbeat to a peer.
    Heartbeat,
    /// Notifies a peer that quota was transferred to it.
    TellMoved,
    /// Requests the configuration from a peer.
    WantConfig,
    /// Sends the configuration to a peer.
    PushConfig,
}

impl Effect {
    /// Protocol step of this effect; `None` for an effect inside the process.
    pub fn step(&self) -> Option<ProtocolStep> {
        match self {
            Effect::Directive { directive: CallDirective::Send { .. }, .. } => {
                Some(ProtocolStep::SendRequest)
            }
            Effect::Directive { .. } => Some(ProtocolStep::AnswerCaller),
            Effect::Platform { request, .. } => Some(platform_step(request)),
            Effect::Worker { request, .. } => Some(worker_step(request)),
            Effect::Frame { frame, .. } => Some(frame_step(&frame.body)),
            Effect::Control { .. } => Some(ProtocolStep::AnswerControl),
            Effect::Log(_) | Effect::Broken(_) | Effect::Stopped => None,
        }
    }
}

fn platform_step(request: &PlatformRequest) -> ProtocolStep {
    match request {
        PlatformRequest::Get { .. } => ProtocolStep::ReadDocument,
        PlatformRequest::Put { key, .. } => write_step(key),
        PlatformRequest::Watch { .. } => ProtocolStep::Watch,
        PlatformRequest::ListVms => ProtocolStep::ListVms,
        PlatformRequest::Reboot { .. } => ProtocolStep::Reboot,
    }
}

fn write_step(key: &str) -> ProtocolStep {
    match key.split('/').next_back() {
        Some("config") => ProtocolStep::WriteConfig,
        Some("members") => ProtocolStep::WriteMembers,
        Some("fleet") => ProtocolStep::WriteFleet,
        _ if key.starts_with("team/") => ProtocolStep::WriteTeam,
        _ if key.starts_with("slots/") => ProtocolStep::WriteSlots,
        _ => ProtocolStep::WriteClaims,
    }
}

fn worker_step(request: &WorkerRequest) -> ProtocolStep {
    match request {
        WorkerRequest::Poll { .. } => ProtocolStep::PollWorker,
        WorkerRequest::Start { .. } => ProtocolStep::StartTask,
        WorkerRequest::Stop { .. } => ProtocolStep::StopTask,
    }
}

fn frame_step(body: &FrameBody) -> ProtocolStep {
    match body {
        FrameBody::Beat => ProtocolStep::Heartbeat,
        FrameBody::Moved { .. } => ProtocolStep::TellMoved,
        FrameBody::WantConfig => ProtocolStep::WantConfig,
        FrameBody::Config { .. } => ProtocolStep::PushConfig,
    }
}
