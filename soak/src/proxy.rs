//! TCP proxies on loopback that inject faults into the connections through them.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use strum::Display;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Delay before each chunk of data is forwarded during [`ConnectionFault::Delay`].
const FORWARD_DELAY: Duration = Duration::from_millis(150);
const BUFFER_BYTES: usize = 16 << 10;

/// A fault of the connections through a proxy. Log lines show the names of the variants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ConnectionFault {
    /// No fault: all data is forwarded.
    #[default]
    None,
    /// Every chunk of data is delayed.
    Delay,
    /// Open connections are closed, and new ones are reset.
    Reset,
    /// Data from the target is discarded; a connection that lost data stays silent in that direction
    /// after the fault.
    CutAnswers,
    /// Data from the client is discarded; a connection that lost data stays silent in that direction
    /// after the fault.
    CutCalls,
    /// Connections that were open before the fault discard data that arrives during it, and all data
    /// after that in the same direction; new connections work.
    SilenceOpen,
}

/// A proxy for one host's connections to one target address.
pub struct Proxy {
    fault: watch::Sender<ConnectionFault>,
}

impl Proxy {
    /// Starts a proxy that listens at `address` and connects to `target`.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let (fault, fault_changes) = watch::channel(ConnectionFault::None);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                // `ConnectionFault::SilenceOpen` spares connections accepted during the fault.
                let initial_fault = *fault_changes.borrow();
                tokio::spawn(forward_connection(
                    client,
                    target,
                    fault_changes.clone(),
                    initial_fault,
                ));
            }
        });
        Ok(Self { fault })
    }

    /// Sets the fault of open and new connections.
    pub fn set_fault(&self, fault: ConnectionFault) {
        self.fault.send_replace(fault);
    }
}

async fn forward_connection(
    client: TcpStream,
    target: SocketAddr,
    fault: watch::Receiver<ConnectionFault>,
    initial_fault: ConnectionFault,
) {
    if initial_fault == ConnectionFault::Reset {
        close_with_reset(&client);
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let resets = wait_for_reset(fault.clone());
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let calls = forward_data(
        from_client,
        to_server,
        fault.clone(),
        initial_fault,
        ConnectionFault::CutCalls,
    );
    let answers = forward_data(
        from_server,
        to_client,
        fault,
        initial_fault,
        ConnectionFault::CutAnswers,
    );
    // When one branch completes, the others are dropped with the halves they own, which closes both
    // connections.
    tokio::select! {
        () = calls => {}
        () = answers => {}
        () = resets => {}
    }
}

async fn wait_for_reset(mut fault: watch::Receiver<ConnectionFault>) {
    while fault.changed().await.is_ok() {
        if *fault.borrow() == ConnectionFault::Reset {
            return;
        }
    }
}

fn close_with_reset(stream: &TcpStream) {
    // If this fails, the connection is closed with FIN instead of RST, which is a fault for the
    // client as well.
    let _ = stream.set_zero_linger();
}

async fn forward_data(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    fault: watch::Receiver<ConnectionFault>,
    initial_fault: ConnectionFault,
    blocking_fault: ConnectionFault,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut discarding = false;
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(length) => length,
        };
        let current = *fault.borrow();
        discarding |= current == ConnectionFault::SilenceOpen
            && initial_fault != ConnectionFault::SilenceOpen;
        if discarding || current == blocking_fault {
            // Data is missing from the stream, so nothing may follow it on this connection.
            discarding = true;
            continue;
        }
        if current == ConnectionFault::Delay {
            tokio::time::sleep(FORWARD_DELAY).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
