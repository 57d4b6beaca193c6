//! Sending and receiving of datagrams.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::mpsc::Receiver;
use wb_event::Event;
use wb_event::line;

use super::Packet;
use super::packet::DATAGRAM_MAX;
use super::receive;
use crate::Context;

/// Capacity of the queue of datagrams to send.
pub const OUTBOX_CAPACITY: usize = 1024;
/// Size of the receive buffer, in bytes.
const READ_BUFFER_SIZE: usize = 64 * 1024;
/// Pause after a socket error, such as a refused datagram to an instance that is gone.
const ERROR_PAUSE: Duration = Duration::from_millis(5);

/// Sends queued datagrams until the daemon ends.
pub async fn send(socket: Arc<UdpSocket>, mut outbox: Receiver<(Packet, Vec<SocketAddr>)>) {
    while let Some((packet, to)) = outbox.recv().await {
        let bytes = postcard::to_stdvec(&packet).expect("packets are plain data");
        if bytes.len() > DATAGRAM_MAX {
            line!(Event::PacketTooLarge, bytes = bytes.len());
        }
        for address in to {
            // Losses are tolerated: heartbeats repeat the sender's versions. An instance that is gone
            // refuses datagrams.
            let sent = socket.send_to(&bytes, address).await;
            if let Err(err) = sent
                && err.kind() != io::ErrorKind::ConnectionRefused
            {
                line!(
                    Event::PacketUnsent,
                    to = address,
                    bytes = bytes.len(),
                    error = err.to_string()
                );
            }
        }
    }
}

/// Receives and handles datagrams until the daemon ends.
pub async fn receive(socket: Arc<UdpSocket>, context: Arc<Context>) {
    let mut buffer = vec![0; READ_BUFFER_SIZE];
    loop {
        let Ok((size, peer)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(ERROR_PAUSE).await;
            continue;
        };
        match postcard::from_bytes(&buffer[..size]) {
            Ok(packet) => receive::handle_packet(&context, packet, peer),
            Err(err) => line!(
                Event::PacketUnreadable,
                peer = peer,
                error = err.to_string()
            ),
        }
    }
}
