//! Serves the readiness probe, and the internal address with metrics and queues.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::{Context, Result, eyre};
use platform::PlatformSettings;
use tiny_http::{Request, Response};
use transport::HttpServer;

use super::host::FleetHost;
use super::queues;

/// Starts the readiness server and the internal server.
///
/// # Errors
///
/// Returns the reason why an address cannot be bound or a thread cannot be started.
pub fn start(settings: &PlatformSettings, host: &Arc<FleetHost>) -> Result<()> {
    start_server("readiness", settings.readiness_address, host, |host, request| {
        let age = host.metrics.record_age_seconds();
        let (state, status) = if host.is_ready() { ("ready", 200) } else { ("not ready", 503) };
        let text = format!("{state}, shared records confirmed {age:.1} s ago\n");
        write_response(request, Response::from_string(text).with_status_code(status));
    })?;
    start_server("metrics", settings.metrics_address, host, |host, request| {
        if request.url() == "/metrics" {
            write_response(request, Response::from_string(host.metrics.encode_text()));
        } else {
            queues::handle_request(host, request);
        }
    })
}

fn write_response(request: Request, response: Response<std::io::Cursor<Vec<u8>>>) {
    if let Err(error) = request.respond(response) {
        tracing::debug!(%error, "answer not sent: the caller closed the connection");
    }
}

/// Starts a server with one thread that passes each request to `handle_request`.
fn start_server(
    name: &str,
    address: SocketAddr,
    host: &Arc<FleetHost>,
    handle_request: fn(&Arc<FleetHost>, Request),
) -> Result<()> {
    let server = HttpServer::listen(address).map_err(|reason| eyre!("{reason}"))?;
    let host = Arc::clone(host);
    let builder = std::thread::Builder::new().name(name.into());
    builder
        .spawn(move || {
            while let Some(request) = server.receive() {
                handle_request(&host, request);
            }
        })
        .wrap_err_with(|| format!("cannot start the {name} thread"))?;
    Ok(())
}
