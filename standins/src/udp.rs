//! UDP sockets on loopback.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use socket2::SockRef;
use tokio::net::UdpSocket;

/// Requested size of the receive buffer; the operating system may grant less. Datagrams that exceed
/// it are dropped silently, which a test would attribute to the system under test.
const RECEIVE_BUFFER_BYTES: usize = 8 * 1024 * 1024;

/// Binds a loopback socket to a port that the operating system picks.
pub(crate) async fn bind() -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    Ok(socket)
}

/// Sends a datagram without waiting; false if the operating system does not accept it.
///
/// Calls the socket directly, because `UdpSocket::try_send_to` also fails until the runtime has
/// registered that the socket is writable: the first datagrams of a new socket would be lost.
pub(crate) fn send(socket: &UdpSocket, datagram: &[u8], to: SocketAddr) -> bool {
    SockRef::from(socket).send_to(datagram, &to.into()).is_ok()
}
