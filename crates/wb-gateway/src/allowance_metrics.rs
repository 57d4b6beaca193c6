//! Metrics of the teams' allowances.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use strum::IntoStaticStr;
use wb_types::id::TeamName;

/// Most teams with metrics of their own.
const TEAMS_MAX: usize = 100;
/// Label of all other teams.
const OTHER_TEAMS: &str = "other";

/// What became of a request of a team with an allowance.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Admission {
    /// It got a token.
    Admitted,
    /// Its team was over the allowance.
    Exceeded,
    /// The instance could not tell.
    Unknown,
}

/// Labels of a team's requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct AdmissionLabels {
    /// Team, or `other`.
    pub team: String,
    /// An [`Admission`].
    pub result: &'static str,
}

/// Label of a team.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct TeamLabels {
    /// Team.
    pub team: String,
}

/// Metrics of the teams' allowances.
#[derive(Default)]
pub struct AllowanceMetrics {
    /// Requests of teams with an allowance.
    pub requests: Family<AdmissionLabels, Counter>,
    /// Tokens of a team here.
    pub level: Family<TeamLabels, Gauge<f64, AtomicU64>>,
    /// Sum of the parts that this instance holds.
    pub part: Gauge<f64, AtomicU64>,
    /// Teams with metrics of their own: the first that sent requests.
    named: Mutex<BTreeSet<TeamName>>,
}

impl AllowanceMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "allowance_requests",
            "Requests of teams with an allowance",
            self.requests.clone(),
        );
        registry.register(
            "allowance_level",
            "Tokens of a team's allowance on this instance",
            self.level.clone(),
        );
        registry.register(
            "allowance_part",
            "Part of all allowances that this instance holds",
            self.part.clone(),
        );
    }

    /// Counts a request.
    pub fn count(&self, team: &TeamName, admission: Admission) {
        let labels = AdmissionLabels {
            team: self.label(team),
            result: admission.into(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Sets the levels of the teams with metrics of their own.
    pub fn set_levels<'a>(&self, levels: impl Iterator<Item = (&'a TeamName, f64)>) {
        let named = self.named.lock().expect("lock is not poisoned");
        for (team, level) in levels.filter(|(team, _)| named.contains(*team)) {
            let team = team.to_string();
            self.level.get_or_create(&TeamLabels { team }).set(level);
        }
    }

    fn label(&self, team: &TeamName) -> String {
        let mut named = self.named.lock().expect("lock is not poisoned");
        if named.len() < TEAMS_MAX {
            named.insert(team.clone());
        }
        if named.contains(team) {
            team.to_string()
        } else {
            OTHER_TEAMS.to_owned()
        }
    }
}
