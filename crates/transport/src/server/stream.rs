//! Stream of a connection that reports to the connection table what the client does.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::table::{Phase, TableEntry};

/// State of a connection that its stream and its requests share.
pub(super) struct ConnectionState {
    pub(super) entry: TableEntry,
    /// Notified when a response has been passed to the kernel completely.
    flushed: Notify,
}

impl ConnectionState {
    pub(super) fn new(entry: TableEntry) -> Rc<Self> {
        Rc::new(Self { entry, flushed: Notify::new() })
    }

    /// Waits until the previous response has been passed to the kernel, so that a client that
    /// sends requests ahead and reads no response has a single one in memory.
    pub(super) async fn wait_for_flush(&self) {
        while self.entry.phase() == Phase::Responding {
            self.flushed.notified().await;
        }
    }
}

/// TCP stream of a connection.
pub(super) struct ClientStream {
    stream: TokioIo<TcpStream>,
    state: Rc<ConnectionState>,
}

impl ClientStream {
    pub(super) fn new(stream: TcpStream, state: Rc<ConnectionState>) -> Self {
        Self { stream: TokioIo::new(stream), state }
    }

    pub(super) fn into_inner(self) -> TcpStream {
        self.stream.into_inner()
    }
}

impl Read for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        // Data that is ready ends the idle time; the end of the stream is seen by `hyper`.
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if matches!(result, Poll::Ready(Ok(()))) && self.state.entry.phase() == Phase::Idle {
            self.state.entry.enter(Phase::Head, 0);
        }
        result
    }
}

impl Write for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // `hyper` flushes the stream only after it has written everything it had.
        if self.state.entry.phase() == Phase::Responding {
            self.state.entry.enter(Phase::Idle, 0);
            self.state.flushed.notify_one();
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }
}
