//! Reading the options of the gateway daemon.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use super::HedgeLimit;
use super::Hedges;
use super::Options;
use crate::Finding;
use crate::read::Section;
use crate::read::document;

/// Allowed shares of hedged attempts; more than half as many again would be a second load.
const SHARES: RangeInclusive<f64> = 0.0..=0.5;
/// Allowed quantiles. Above the highest, too many requests are needed before it is known.
const QUANTILES: RangeInclusive<f64> = 0.5..=0.999;
/// Default quantile.
const QUANTILE: f64 = 0.95;

impl Options {
    /// Parses the text of an options file; `file` is the name that findings show.
    ///
    /// # Errors
    ///
    /// All findings, each with file, line and column.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Finding>> {
        document(file, text, |root| {
            let hedges = root.section_or("hedges", hedges, Hedges::default());
            Some(Self { hedges: hedges? })
        })
    }
}

fn hedges(section: &mut Section<'_>) -> Option<Hedges> {
    let all = match section.has("share") || section.has("quantile") {
        true => hedge_limit(section).map(Some),
        false => Some(None),
    };
    let services = section.sections("services", hedge_limit);
    let services = services?
        .into_iter()
        .map(|(name, limit)| (name.into(), limit));
    Some(Hedges {
        all: all?,
        services: services.collect::<BTreeMap<_, _>>(),
    })
}

fn hedge_limit(section: &mut Section<'_>) -> Option<HedgeLimit> {
    let share = section.value("share");
    let quantile = section.value_or("quantile", QUANTILE);
    section.check_range("share", share, &SHARES);
    section.check_range("quantile", quantile, &QUANTILES);
    Some(HedgeLimit {
        share: share?,
        quantile: quantile?,
    })
}
