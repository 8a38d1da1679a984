//! Parts that both daemons use: the control socket, the incarnation and the handling of signals.

use std::io;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use tokio::net::UdpSocket;
use tokio::signal::unix::{signal, SignalKind};
use tokio_util::sync::CancellationToken;

use crate::id::{Incarnation, Member};
use crate::settings;
use crate::wire::{Error, Frame, Key, Message, Opener, Sealer};

/// Size of the receive buffer. Longer datagrams are truncated and then rejected.
const DATAGRAM_MAX_BYTES: usize = 2048;

/// Returns the incarnation of a process that starts now: the Unix time in milliseconds.
///
/// Call it once per run. The wall clock only has to be ahead of its value at the start of the
/// member's previous run.
pub fn incarnation() -> Incarnation {
    let age = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(age.as_millis() as u64)
}

/// Cancellation tokens that tell a process to shut down.
#[derive(Clone, Debug, Default)]
pub struct Stop {
    /// Accept nothing new, finish the established flows, then exit.
    pub drain: CancellationToken,
    /// Exit immediately. Cancelled only after `drain`.
    pub now: CancellationToken,
}

impl Stop {
    /// Installs signal handlers: the first SIGTERM or SIGINT cancels `drain`, the second one `now`.
    pub fn on_signals() -> io::Result<Self> {
        let stop = Self::default();
        let tokens = stop.clone();
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::spawn(async move {
            for token in [tokens.drain, tokens.now] {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                }
                token.cancel();
            }
        });
        Ok(stop)
    }
}

/// UDP socket that seals the control frames it sends and opens those it receives.
pub struct ControlSocket {
    socket: UdpSocket,
    sealer: Sealer,
    opener: Opener,
    buffer: Vec<u8>,
    /// Number of messages that couldn't be sealed or sent.
    pub send_errors: u64,
    /// Number of received frames that were rejected, see [`Error`].
    pub rejected: u64,
    /// Total size in bytes of the frames sent and the datagrams received, without UDP headers.
    pub bytes: u64,
}

impl ControlSocket {
    /// Binds the socket. `member` and `incarnation` identify the sender of its frames.
    pub async fn bind(
        address: SocketAddr,
        member: Member,
        incarnation: Incarnation,
        key: &settings::SharedKey,
    ) -> io::Result<Self> {
        let key = Key::new(key.bytes());
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
            sealer: Sealer::new(key.clone(), member, incarnation),
            opener: Opener::new(key),
            buffer: vec![0; DATAGRAM_MAX_BYTES],
            send_errors: 0,
            rejected: 0,
            bytes: 0,
        })
    }

    /// Seals and sends a message. If that fails, the message is lost, as it could be in the
    /// network.
    pub async fn send(&mut self, to: SocketAddr, message: Message) {
        let sent = match self.sealer.seal(message) {
            Ok(frame) => {
                self.bytes += frame.len() as u64;
                self.socket.send_to(&frame, to).await.is_ok()
            }
            Err(error) => {
                log::error!("event=frame_not_sent to={to} error={error}");
                false
            }
        };
        if !sent {
            self.send_errors += 1;
        }
    }

    /// Receives the next valid frame with the address it came from. Cancel-safe.
    pub async fn receive(&mut self) -> (SocketAddr, Frame) {
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut self.buffer).await else {
                continue;
            };
            self.bytes += length as u64;
            match self.opener.open(&self.buffer[..length]) {
                Ok(frame) => return (from, frame),
                Err(error) => self.reject(from, error),
            }
        }
    }

    /// Discards the datagrams queued in the socket and returns their number.
    pub fn discard(&mut self) -> usize {
        let mut count = 0;
        while self.socket.try_recv_from(&mut self.buffer).is_ok() {
            count += 1;
        }
        count
    }

    fn reject(&mut self, from: SocketAddr, error: Error) {
        self.rejected += 1;
        log::warn!("event=frame_rejected from={from} reason={error}");
    }
}
