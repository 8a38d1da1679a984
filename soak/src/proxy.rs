//! Loopback proxies that harm the connections through them.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use strum::Display;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Delay of each piece of data through a slow proxy.
const DELAY: Duration = Duration::from_millis(150);
const BUFFER_BYTES: usize = 16 << 10;

/// What a proxy does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Harm {
    /// It passes everything on.
    #[default]
    None,
    /// It passes everything on late.
    Delay,
    /// It resets connections.
    Reset,
    /// It passes nothing on from the server of the connection.
    CutAnswers,
    /// It passes nothing on from the client of the connection.
    CutCalls,
    /// Open connections go silent for good; new ones work.
    SilenceOpen,
}

/// A proxy of one host's connections to one address.
pub struct Proxy {
    harm: watch::Sender<Harm>,
}

impl Proxy {
    /// Starts a proxy that listens at `address` and connects to `target`.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let (harm, harmed) = watch::channel(Harm::None);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                // A connection that begins while others go silent works.
                let begun = *harmed.borrow();
                tokio::spawn(carry(client, target, harmed.clone(), begun));
            }
        });
        Ok(Self { harm })
    }

    /// Changes what it does.
    pub fn set(&self, harm: Harm) {
        self.harm.send_replace(harm);
    }
}

async fn carry(client: TcpStream, target: SocketAddr, harm: watch::Receiver<Harm>, begun: Harm) {
    if begun == Harm::Reset {
        reset(&client);
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let resets = resets(harm.clone());
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let calls = copy(from_client, to_server, harm.clone(), begun, Harm::CutCalls);
    let answers = copy(from_server, to_client, harm, begun, Harm::CutAnswers);
    // The halves are dropped with the losing branches, which closes both connections.
    tokio::select! {
        () = calls => {}
        () = answers => {}
        () = resets => {}
    }
}

async fn resets(mut harm: watch::Receiver<Harm>) {
    while harm.changed().await.is_ok() {
        if *harm.borrow() == Harm::Reset {
            return;
        }
    }
}

fn reset(stream: &TcpStream) {
    // Without it the connection is closed in order, which is as good a fault.
    let _ = stream.set_zero_linger();
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    harm: watch::Receiver<Harm>,
    begun: Harm,
    cut: Harm,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut silent = false;
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(length) => length,
        };
        let now = *harm.borrow();
        silent |= now == Harm::SilenceOpen && begun != Harm::SilenceOpen;
        if silent || now == cut {
            // Data that is cut off is lost with its connection.
            silent = true;
            continue;
        }
        if now == Harm::Delay {
            tokio::time::sleep(DELAY).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
