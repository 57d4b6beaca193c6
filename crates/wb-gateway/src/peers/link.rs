//! Sending and receiving datagrams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::mpsc::Receiver;
use wb_event::Event;
use wb_event::line;

use super::Packet;
use super::hear;
use super::packet::SIZE_MAX;
use crate::Context;

/// Packets that wait to be sent, at most.
pub const OUTBOX: usize = 1024;
/// Largest datagram that is read, in bytes.
const READ_MAX: usize = 64 * 1024;
/// Pause after an error of the socket, e.g. a refused datagram to an instance that is gone.
const PAUSE: Duration = Duration::from_millis(5);

/// Sends packets until the daemon ends.
pub async fn send(socket: Arc<UdpSocket>, mut outbox: Receiver<(Packet, Vec<SocketAddr>)>) {
    while let Some((packet, to)) = outbox.recv().await {
        let bytes = postcard::to_stdvec(&packet).expect("packets are plain data");
        if bytes.len() > SIZE_MAX {
            line!(Event::PacketTooLarge, bytes = bytes.len());
        }
        for address in to {
            // Datagrams may be lost; beats make up for that.
            let _ = socket.send_to(&bytes, address).await;
        }
    }
}

/// Takes packets until the daemon ends.
pub async fn receive(socket: Arc<UdpSocket>, context: Arc<Context>) {
    let mut buffer = vec![0; READ_MAX];
    loop {
        let Ok((size, peer)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        match postcard::from_bytes(&buffer[..size]) {
            Ok(packet) => hear::hear(&context, packet, peer),
            Err(err) => line!(
                Event::PacketUnreadable,
                peer = peer,
                error = err.to_string()
            ),
        }
    }
}
