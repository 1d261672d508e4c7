//! Connections with a small receive window, as links with small windows have.

use std::{
    ffi::{c_int, c_void},
    io,
    net::{SocketAddr, TcpStream},
    os::fd::{FromRawFd, OwnedFd},
};

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;
const IPPROTO_TCP: c_int = 6;
const TCP_MAXSEG: c_int = 2;
/// Longest segment on an Ethernet. On the loopback interface segments of 64 KB are usual, for which the system keeps
/// buffers of megabytes.
const SEGMENT_BYTES: c_int = 1_460;
/// Receive buffer of a connection; the system doubles it for its own use.
const RECEIVE_BUFFER_BYTES: c_int = 4_096;

#[repr(C)]
struct Ipv4Address {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(
        socket: c_int,
        level: c_int,
        name: c_int,
        value: *const c_void,
        length: u32,
    ) -> c_int;
    fn connect(socket: c_int, address: *const Ipv4Address, length: u32) -> c_int;
}

/// Connects with a receive window of a few kilobytes. The option must be set before the connection is opened.
pub fn connect_with_small_window(to: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(to) = to else {
        return Err(io::Error::other("not an IPv4 address"));
    };
    let address = Ipv4Address {
        family: AF_INET as u16,
        port: to.port().to_be_bytes(),
        address: to.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the pointers are valid for the lengths that are passed with them, and the descriptor is owned once.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let owned = OwnedFd::from_raw_fd(descriptor);
        let bytes = RECEIVE_BUFFER_BYTES;
        let value = (&raw const bytes).cast();
        if setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, value, 4) != 0 {
            return Err(io::Error::last_os_error());
        }
        let bytes = SEGMENT_BYTES;
        let value = (&raw const bytes).cast();
        if setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, value, 4) != 0 {
            return Err(io::Error::last_os_error());
        }
        if connect(descriptor, &raw const address, 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(TcpStream::from(owned))
    }
}
