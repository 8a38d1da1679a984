//! What the daemons share: sealed control frames, the incarnation and signals.

use std::io;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use tokio::net::UdpSocket;
use tokio::signal::unix::{signal, SignalKind};
use tokio_util::sync::CancellationToken;

use crate::id::{Incarnation, Member};
use crate::settings;
use crate::wire::{Error, Frame, Key, Message, Opener, Sealer};

/// Largest datagram that is read; longer frames are cut and then rejected.
const DATAGRAM_MAX_BYTES: usize = 2048;

/// The incarnation of a process that starts now.
///
/// The wall clock is read once here: it only has to be later than at the start of the member's
/// previous run.
pub fn incarnation() -> Incarnation {
    let age = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(age.as_millis() as u64)
}

/// How a process is asked to end.
#[derive(Clone, Debug, Default)]
pub struct Stop {
    /// Finish what is established, then end.
    pub drain: CancellationToken,
    /// End now. Cancelled only after `drain`.
    pub now: CancellationToken,
}

impl Stop {
    /// Follows the signals: the first SIGTERM or SIGINT drains, the second ends the process.
    pub fn on_signals() -> io::Result<Self> {
        let stop = Self::default();
        let follower = stop.clone();
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::spawn(async move {
            for token in [follower.drain, follower.now] {
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

/// A socket for sealed control frames.
pub struct ControlSocket {
    socket: UdpSocket,
    sealer: Sealer,
    opener: Opener,
    buffer: Vec<u8>,
    /// Frames that were not sent.
    pub send_errors: u64,
    /// Frames that were rejected.
    pub rejected: u64,
    /// Bytes sent and received.
    pub bytes: u64,
}

impl ControlSocket {
    /// Opens the socket.
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

    /// Seals and sends a message. A message that can't be sent is lost like one on the way.
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

    /// Receives the next valid frame. Cancel-safe.
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

    /// Drops everything that is queued in the socket.
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
