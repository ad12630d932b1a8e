//! The steps of all protocols, named, so that the fault matrix can have a row
//! for each. A new kind of effect does not compile until it is given a step, and
//! a new step without a row fails a test.

use crate::event::{CallDirective, Effect, PlatformRequest, WorkerRequest};
use crate::frame::FrameBody;

macro_rules! steps {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// One kind of step that a daemon takes towards the outside.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
        pub enum ProtocolStep {
            $($(#[$doc])* $name,)*
        }

        impl ProtocolStep {
            /// Every step.
            pub const ALL: &[ProtocolStep] = &[$(Self::$name,)*];
        }
    };
}

steps! {
    /// Reads a document.
    ReadDocument,
    /// Writes the configuration.
    WriteConfig,
    /// Writes the set of daemons.
    WriteMembers,
    /// Writes VM records.
    WriteFleet,
    /// Writes a team's limit and jobs.
    WriteTeam,
    /// Writes a pool's slots.
    WriteSlots,
    /// Writes claims.
    WriteClaims,
    /// Waits for changes.
    Watch,
    /// Reads the list of VMs.
    ListVms,
    /// Asks for a reboot.
    Reboot,
    /// Asks a worker about its tasks.
    PollWorker,
    /// Starts a task.
    StartTask,
    /// Stops a task.
    StopTask,
    /// Sends a request to a minion.
    SendRequest,
    /// Answers a caller without a minion's answer.
    AnswerCaller,
    /// Answers an operator or a submitter.
    AnswerControl,
    /// Sends a heartbeat.
    Heartbeat,
    /// Tells a peer that parts were moved to it.
    TellMoved,
    /// Asks a peer for the configuration.
    WantConfig,
    /// Sends a peer the configuration.
    PushConfig,
}

impl Effect {
    /// The step that this effect is; none for what stays inside the process.
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
