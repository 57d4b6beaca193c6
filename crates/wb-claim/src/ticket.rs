//! The idempotency key that the fleet issues.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use wb_types::id::Incarnation;
use wb_types::id::InstanceName;

/// First part of every ticket.
const PREFIX: &str = "wt1";

/// A ticket: names the process that issued it, so that any instance knows whom to ask.
///
/// Its text is `wt1.<instance>.<incarnation>.<number>.<nonce>`, numbers in hex.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    /// Instance that issued it.
    pub issuer: InstanceName,
    /// Process start of the issuer.
    pub incarnation: Incarnation,
    /// Count of tickets of the issuer.
    pub number: u64,
    /// Random part, so that tickets can't be guessed.
    pub nonce: u64,
}

/// A text is no ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseTicketError;

impl fmt::Display for ParseTicketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a ticket of this fleet")
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
        let incarnation = parts.next().and_then(hex);
        let number = parts.next().and_then(hex);
        let nonce = parts.next().and_then(hex);
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

fn hex(text: &str) -> Option<u64> {
    let digits = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !digits {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}
