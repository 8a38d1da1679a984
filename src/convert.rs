//! Conversions between the types of the core and the Protobuf types of the control protocol.

use std::net::{IpAddr, SocketAddr};

use strum::{Display, IntoStaticStr};

use crate::id::{Connections, Generation, Incarnation, Sequence, Slots};
use crate::member::{Record, Role, State};
use crate::packet::{Flow, Protocol};
use crate::wire::control;

/// Why a wire value can't be converted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Error {
    /// An address without 4 or 16 bytes of IP address, or with a port above 65535.
    Address,
    /// Neither TCP nor UDP.
    Protocol,
    /// A state that is unspecified or unknown to this version.
    State,
    /// An invalid member, domain or service name.
    Name,
    /// A required field is absent.
    Missing,
}

impl std::error::Error for Error {}

impl From<SocketAddr> for control::Address {
    fn from(address: SocketAddr) -> Self {
        let ip = match address.ip() {
            IpAddr::V4(ip) => ip.octets().to_vec(),
            IpAddr::V6(ip) => ip.octets().to_vec(),
        };
        Self {
            ip,
            port: u32::from(address.port()),
        }
    }
}

impl TryFrom<&control::Address> for SocketAddr {
    type Error = Error;

    fn try_from(address: &control::Address) -> Result<Self, Error> {
        let ip = if let Ok(octets) = <[u8; 4]>::try_from(&address.ip[..]) {
            IpAddr::from(octets)
        } else if let Ok(octets) = <[u8; 16]>::try_from(&address.ip[..]) {
            IpAddr::from(octets)
        } else {
            return Err(Error::Address);
        };
        let port = u16::try_from(address.port).map_err(|_| Error::Address)?;
        Ok(SocketAddr::new(ip, port))
    }
}

fn required_address(address: &Option<control::Address>) -> Result<SocketAddr, Error> {
    address.as_ref().ok_or(Error::Missing)?.try_into()
}

impl From<&Flow> for control::Flow {
    fn from(flow: &Flow) -> Self {
        Self {
            protocol: u32::from(flow.protocol.number()),
            source: Some(flow.source.into()),
            destination: Some(flow.destination.into()),
        }
    }
}

impl TryFrom<&control::Flow> for Flow {
    type Error = Error;

    fn try_from(flow: &control::Flow) -> Result<Self, Error> {
        let number = u8::try_from(flow.protocol).map_err(|_| Error::Protocol)?;
        Ok(Self {
            protocol: Protocol::from_number(number).ok_or(Error::Protocol)?,
            source: required_address(&flow.source)?,
            destination: required_address(&flow.destination)?,
        })
    }
}

impl From<State> for control::State {
    fn from(state: State) -> Self {
        match state {
            State::Joining => Self::Joining,
            State::Active => Self::Active,
            State::Draining => Self::Draining,
            State::Down => Self::Down,
        }
    }
}

impl TryFrom<control::State> for State {
    type Error = Error;

    fn try_from(state: control::State) -> Result<Self, Error> {
        match state {
            control::State::Unspecified => Err(Error::State),
            control::State::Joining => Ok(Self::Joining),
            control::State::Active => Ok(Self::Active),
            control::State::Draining => Ok(Self::Draining),
            control::State::Down => Ok(Self::Down),
        }
    }
}

impl From<&Record> for control::Record {
    fn from(record: &Record) -> Self {
        Self {
            member: record.member.to_string(),
            balancer: record.role == Role::Balancer,
            incarnation: record.incarnation.0,
            sequence: record.sequence.0,
            state: control::State::from(record.state).into(),
            domain: record.domain.to_string(),
            control: Some(record.control.into()),
            data: Some(record.data.into()),
            service: record
                .service
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default(),
            slots: record.slots.0,
            connections: record.connections.0,
            generation: record.generation.0,
            open_flows: record.open_flows,
            sole_server: record.sole_server.map_or(0, |server| server.0),
        }
    }
}

impl TryFrom<&control::Record> for Record {
    type Error = Error;

    fn try_from(record: &control::Record) -> Result<Self, Error> {
        let state = control::State::try_from(record.state).map_err(|_| Error::State)?;
        let service = match record.service.as_str() {
            "" => None,
            name => Some(name.parse().map_err(|_| Error::Name)?),
        };
        Ok(Self {
            member: record.member.parse().map_err(|_| Error::Name)?,
            role: if record.balancer {
                Role::Balancer
            } else {
                Role::Agent
            },
            incarnation: Incarnation(record.incarnation),
            sequence: Sequence(record.sequence),
            state: state.try_into()?,
            domain: record.domain.parse().map_err(|_| Error::Name)?,
            control: required_address(&record.control)?,
            data: required_address(&record.data)?,
            service,
            slots: Slots(record.slots),
            connections: Connections(record.connections),
            generation: Generation(record.generation),
            open_flows: record.open_flows,
            sole_server: (record.sole_server > 0).then_some(Incarnation(record.sole_server)),
        })
    }
}
