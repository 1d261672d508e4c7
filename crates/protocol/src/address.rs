//! Conversion of socket addresses.

use {
    crate::{ProtocolError, node_capnp::address},
    std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr},
};

const IPV6_OCTETS: usize = 16;

pub(crate) fn write(mut builder: address::Builder<'_>, address: SocketAddr) {
    builder.set_port(address.port());
    match address.ip() {
        IpAddr::V4(ip) => builder.set_ipv4(ip.to_bits()),
        IpAddr::V6(ip) => builder.set_ipv6(&ip.octets()),
    }
}

pub(crate) fn read(reader: address::Reader<'_>) -> Result<SocketAddr, ProtocolError> {
    let ip = match reader.which()? {
        address::Ipv4(bits) => IpAddr::V4(Ipv4Addr::from_bits(bits)),
        address::Ipv6(octets) => {
            let octets: [u8; IPV6_OCTETS] =
                octets?
                    .try_into()
                    .map_err(|_| ProtocolError::InvalidValue {
                        field: "address.ipv6",
                    })?;
            IpAddr::V6(Ipv6Addr::from(octets))
        }
    };
    Ok(SocketAddr::new(ip, reader.get_port()))
}
