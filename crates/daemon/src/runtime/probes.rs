//! Serves the readiness probe, and the internal address with metrics and queues.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::{Context, Result, eyre};
use platform::PlatformSettings;
use state::ClientAddress;
use transport::{HttpServer, IncomingRequest, OutgoingResponse};

use super::host::FleetHost;
use super::{queues, submitters};

/// Starts the readiness server and the internal server.
///
/// # Errors
///
/// Returns the reason why an address cannot be bound or a thread cannot be started.
pub fn start(settings: &PlatformSettings, host: &Arc<FleetHost>) -> Result<()> {
    let readiness = (ClientAddress::Readiness, settings.readiness_address);
    start_server(settings, readiness, host, |host, request| {
        let age = host.metrics.record_age_seconds();
        let (state, status) = if host.is_ready() { ("ready", 200) } else { ("not ready", 503) };
        let text = format!("{state}, shared records confirmed {age:.1} s ago\n");
        request.respond(build_text(status, text));
    })?;
    let internal = (ClientAddress::Internal, settings.metrics_address);
    start_server(settings, internal, host, |host, request| {
        if request.url() == "/metrics" {
            request.respond(build_text(200, host.metrics.encode_text()));
        } else {
            queues::handle_request(host, request);
        }
    })
}

fn build_text(status: u16, text: String) -> OutgoingResponse {
    OutgoingResponse::new(status, text).with_header("Content-Type", "text/plain; charset=UTF-8")
}

/// Starts a server with one thread that passes each request to `handle_request`.
fn start_server(
    settings: &PlatformSettings,
    (name, address): (ClientAddress, SocketAddr),
    host: &Arc<FleetHost>,
    handle_request: fn(&Arc<FleetHost>, IncomingRequest),
) -> Result<()> {
    let limits = settings.client_limits.of(name);
    let server = HttpServer::listen(address, name, limits, submitters::build_refusal)
        .map_err(|reason| eyre!("{reason}"))?;
    host.metrics.add_client_counters(server.counters());
    let host = Arc::clone(host);
    let builder = std::thread::Builder::new().name(name.label().into());
    builder
        .spawn(move || {
            while let Some(request) = server.receive() {
                handle_request(&host, request);
            }
        })
        .wrap_err_with(|| format!("cannot start the {} thread", name.label()))?;
    Ok(())
}
