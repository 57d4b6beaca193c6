//! The idempotency key that the fleet issues.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use wb_types::id::Incarnation;
use wb_types::id::InstanceName;

/// First part of the text of each ticket, with the version of the format.
const PREFIX: &str = "wt1";

/// A ticket. It names the process that issued it, so that any instance knows which one to ask.
///
/// Its text is `wt1.<issuer>.<incarnation>.<number>.<nonce>`, with the numbers in hexadecimal.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    /// Instance that issued it.
    pub issuer: InstanceName,
    /// Incarnation of the issuing process.
    pub incarnation: Incarnation,
    /// Sequence number among the tickets of the issuing process, from 1.
    pub number: u64,
    /// Random part, so that tickets can't be guessed.
    pub nonce: u64,
}

/// A text is not a valid ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseTicketError;

impl fmt::Display for ParseTicketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a ticket issued by this fleet")
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{PREFIX}.{}.{:x}.{:x}.{:x}",
            self.issuer, self.incarnation, self.number, self.nonce
        )
    }
}

impl FromStr for Ticket {
    type Err = ParseTicketError;

    fn from_str(text: &str) -> Result<Self, ParseTicketError> {
        let mut parts = text.split('.');
        let prefix = parts.next();
        let issuer = parts.next().filter(|name| !name.is_empty());
        let incarnation = parts.next().and_then(parse_hex);
        let number = parts.next().and_then(parse_hex);
        let nonce = parts.next().and_then(parse_hex);
        if prefix != Some(PREFIX) || parts.next().is_some() {
            return Err(ParseTicketError);
        }
        Ok(Self {
            issuer: issuer.ok_or(ParseTicketError)?.into(),
            incarnation: incarnation.ok_or(ParseTicketError)?,
            number: number.ok_or(ParseTicketError)?,
            nonce: nonce.ok_or(ParseTicketError)?,
        })
    }
}

fn parse_hex(text: &str) -> Option<u64> {
    let all_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !all_hex {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}
