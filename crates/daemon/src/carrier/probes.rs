//! Readiness and metrics.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::{Context, Result, eyre};
use platform::PlatformSettings;
use tiny_http::{Request, Response};
use transport::HttpServer;

use super::host::FleetHost;

/// Starts answering the platform's questions for readiness, and metrics.
///
/// # Errors
///
/// The reason why an address cannot be listened on or a thread not started.
pub fn start(settings: &PlatformSettings, host: &Arc<FleetHost>) -> Result<()> {
    serve("readiness", settings.readiness, host, |host, _| {
        if host.is_ready() {
            Response::from_string("ready")
        } else {
            Response::from_string("not ready").with_status_code(503)
        }
    })?;
    serve("metrics", settings.metrics, host, |host, request| {
        if request.url() == "/metrics" {
            Response::from_string(host.meters.text())
        } else {
            Response::from_string("see /metrics").with_status_code(404)
        }
    })
}

type TextResponse = Response<std::io::Cursor<Vec<u8>>>;

fn serve(
    name: &str,
    address: SocketAddr,
    host: &Arc<FleetHost>,
    answer: fn(&FleetHost, &Request) -> TextResponse,
) -> Result<()> {
    let server = HttpServer::listen(address).map_err(|reason| eyre!("{reason}"))?;
    let host = Arc::clone(host);
    let thread = std::thread::Builder::new().name(name.into());
    thread
        .spawn(move || {
            while let Some(request) = server.receive() {
                let response = answer(&host, &request);
                if let Err(error) = request.respond(response) {
                    tracing::debug!(%error, "the caller had gone");
                }
            }
        })
        .wrap_err_with(|| format!("{name} thread"))?;
    Ok(())
}
