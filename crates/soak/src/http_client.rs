//! HTTP client that keeps one open connection for each daemon and uses it until it breaks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eyre::WrapErr;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Bytes;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Runtime};
use tokio::time::timeout;

type OpenConnection = SendRequest<Full<Bytes>>;

/// Client whose calls block.
pub(crate) struct HttpClient {
    runtime: Runtime,
    connections: BTreeMap<SocketAddr, OpenConnection>,
}

impl HttpClient {
    /// Creates a client without connections.
    pub(crate) fn new() -> eyre::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.wrap_err("cannot start a client")?;
        Ok(Self { runtime, connections: BTreeMap::new() })
    }

    /// Makes a call and returns its status; `None` if there is no complete answer in time. The
    /// connection is used again only after a complete answer.
    pub(crate) fn call(
        &mut self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Option<u16> {
        let known = self.connections.remove(&address);
        let call = async { timeout(limit, make_call(known, address, request)).await.ok()?.ok() };
        let (connection, status) = self.runtime.block_on(call)?;
        self.connections.insert(address, connection);
        Some(status)
    }
}

async fn make_call(
    known: Option<OpenConnection>,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> eyre::Result<(OpenConnection, u16)> {
    let mut connection = match keep_open(known).await {
        Some(connection) => connection,
        None => connect(address).await?,
    };
    let response = connection.send_request(request).await?;
    let status = response.status().as_u16();
    response.into_body().collect().await?;
    Ok((connection, status))
}

/// Returns the connection if the daemon has not closed it.
async fn keep_open(connection: Option<OpenConnection>) -> Option<OpenConnection> {
    let mut connection = connection?;
    connection.ready().await.ok()?;
    Some(connection)
}

async fn connect(address: SocketAddr) -> eyre::Result<OpenConnection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (connection, driver) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(driver);
    Ok(connection)
}
