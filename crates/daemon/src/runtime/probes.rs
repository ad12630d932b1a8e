//! Readiness, and what is served on the internal address: metrics and queues.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::{Context, Result, eyre};
use platform::PlatformSettings;
use tiny_http::{Request, Response};
use transport::HttpServer;

use super::host::FleetHost;
use super::queues;

/// Starts answering the platform's questions for readiness, and internal callers.
///
/// # Errors
///
/// The reason why an address cannot be listened on or a thread not started.
pub fn start(settings: &PlatformSettings, host: &Arc<FleetHost>) -> Result<()> {
    start_server("readiness", settings.readiness, host, |host, request| {
        let response = if host.is_ready() {
            Response::from_string("ready")
        } else {
            Response::from_string("not ready").with_status_code(503)
        };
        write_response(request, response);
    })?;
    start_server("metrics", settings.metrics, host, |host, request| {
        if request.url() == "/metrics" {
            write_response(request, Response::from_string(host.meters.text()));
        } else {
            queues::take(host, request);
        }
    })
}

fn write_response(request: Request, response: Response<std::io::Cursor<Vec<u8>>>) {
    if let Err(error) = request.respond(response) {
        tracing::debug!(%error, "the caller had gone");
    }
}

fn start_server(
    name: &str,
    address: SocketAddr,
    host: &Arc<FleetHost>,
    take: fn(&Arc<FleetHost>, Request),
) -> Result<()> {
    let server = HttpServer::listen(address).map_err(|reason| eyre!("{reason}"))?;
    let host = Arc::clone(host);
    let thread = std::thread::Builder::new().name(name.into());
    thread
        .spawn(move || {
            while let Some(request) = server.receive() {
                take(&host, request);
            }
        })
        .wrap_err_with(|| format!("{name} thread"))?;
    Ok(())
}
