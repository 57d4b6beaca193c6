//! All teams of one version, and the team of a request.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use strum::IntoStaticStr;
use wb_types::id::TeamName;

use crate::Caller;
use crate::KeyDigest;
use crate::Team;

/// Weight of a team without an allowance where no team has one.
const WEIGHT_DEFAULT: f64 = 1.0;

/// Why the team of a request is not known.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq, thiserror::Error)]
#[strum(serialize_all = "snake_case")]
pub enum KeyError {
    /// The request has no key, or more than one.
    #[error("the request has not exactly one key")]
    NoKey,
    /// No team has the key.
    #[error("no team has the key")]
    UnknownKey,
}

/// Two teams of one configuration that name the same key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SharedKey {
    /// The team that holds the key.
    pub holder: TeamName,
    /// The other team.
    pub other: TeamName,
}

/// All teams of one version. Where the configuration names none, requests need no key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamTable {
    teams: BTreeMap<TeamName, Team>,
    keys: HashMap<KeyDigest, TeamName>,
    /// Names of the routes whose requests need no key.
    public_routes: BTreeSet<Arc<str>>,
    /// Whether requests need a key although no team may be known.
    needs_keys: bool,
}

impl TeamTable {
    /// Adds a team with its keys. A key that another team holds stays with that team.
    pub fn add(&mut self, name: &TeamName, team: Team, keys: &[KeyDigest]) -> Vec<SharedKey> {
        self.teams.insert(name.clone(), team);
        let mut shared = Vec::new();
        for key in keys {
            let holder = self.keys.entry(*key).or_insert_with(|| name.clone());
            if holder != name {
                shared.push(SharedKey {
                    holder: holder.clone(),
                    other: name.clone(),
                });
            }
        }
        shared
    }

    /// Lets requests need a key, also if no team can be added.
    pub fn require_keys(&mut self) {
        self.needs_keys = true;
    }

    /// Marks a route whose requests need no key.
    pub fn add_public_route(&mut self, route: Arc<str>) {
        self.public_routes.insert(route);
    }

    /// Whether the configuration names no teams, and requests need no key.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty() && !self.needs_keys
    }

    /// Number of teams.
    pub fn team_count(&self) -> usize {
        self.teams.len()
    }

    /// Teams by name.
    pub fn teams(&self) -> impl Iterator<Item = (&TeamName, &Team)> {
        self.teams.iter()
    }

    /// A team by its name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.get(name)
    }

    /// Number of keys.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Number of keys of a team that it doesn't have in another table.
    pub fn keys_missing_in(&self, other: &Self, team: &TeamName) -> usize {
        let keys = self.keys.iter().filter(|(_, holder)| *holder == team);
        keys.filter(|(key, _)| other.keys.get(key) != Some(team))
            .count()
    }

    /// Number of routes whose requests need no key.
    pub fn public_route_count(&self) -> usize {
        self.public_routes.len()
    }

    /// The team of a request on a route, by the key that the request carries. `None` if the route is
    /// public and the request has no key that is known, or if there are no teams.
    ///
    /// # Errors
    ///
    /// A [`KeyError`] if the route needs a key and the request has none that is known.
    pub fn identify(&self, route: &str, key: Option<&[u8]>) -> Result<Option<Caller>, KeyError> {
        if self.is_empty() {
            return Ok(None);
        }
        let holder = key.map(|key| self.keys.get(&KeyDigest::of(key)));
        match holder {
            Some(Some(team)) => Ok(Some(self.caller(team))),
            _ if self.public_routes.contains(route) => Ok(None),
            Some(None) => Err(KeyError::UnknownKey),
            None => Err(KeyError::NoKey),
        }
    }

    /// What the callers of a team are entitled to; the defaults if the team is not known here.
    pub fn caller(&self, team: &TeamName) -> Caller {
        let known = self.teams.get(team).copied().unwrap_or_default();
        Caller {
            team: team.clone(),
            priority: known.priority,
            allowance: known.allowance,
            weight: known
                .allowance
                .map_or_else(|| self.mean_rate(), |allowance| allowance.rate),
        }
    }

    /// Mean rate of the teams that have an allowance.
    fn mean_rate(&self) -> f64 {
        let allowances = self.teams.values().filter_map(|team| team.allowance);
        let rates: Vec<f64> = allowances.map(|allowance| allowance.rate).collect();
        if rates.is_empty() {
            return WEIGHT_DEFAULT;
        }
        rates.iter().sum::<f64>() / rates.len() as f64
    }
}
