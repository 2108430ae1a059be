//! Checks the sections of forwarders and planners.

use super::error::{OperatorConfigError, Problem};
use super::sections::{ForwardSection, PlanSection, PlannerSection};
use super::source::{SourceFile, Span};
use super::{ForwarderOptions, PlannerOptions};
use reedferry::{Nanos, MILLI, SECOND};
use reedferry_control_plane::PlannerAddress;
use std::collections::HashSet;
use toml::Spanned;

/// The difference between the drain grace and the default lease.
const DEFAULT_LEASE_MARGIN: Nanos = 50 * MILLI;
/// The shortest lease that the file may set.
const MIN_LEASE: Nanos = 40 * MILLI;
/// The longest lease that the file may set; the drain grace limits it further.
const MAX_LEASE: Nanos = 2 * SECOND;

/// Returns all planners of the installation, whose names and addresses must be unique.
pub(super) fn planners(
    source: &SourceFile,
    sections: &[Spanned<PlannerSection>],
) -> Result<Vec<PlannerAddress>, OperatorConfigError> {
    let (mut names, mut addresses) = (HashSet::new(), HashSet::new());
    let mut planners = Vec::new();
    for section in sections {
        let span = section.span();
        let PlannerSection { name, address } = section.get_ref();
        let address = source.address("address", address)?;
        if name.is_empty() || name.len() > reedferry_control_plane::messages::MAX_NAME_BYTES {
            return Err(source.error(&span, Problem::PlannerNameLength));
        }
        if !names.insert(name) || !addresses.insert(address) {
            return Err(source.error(&span, Problem::DuplicatePlanner(name.clone())));
        }
        planners.push(PlannerAddress {
            name: name.clone(),
            address,
        });
    }
    Ok(planners)
}

/// Returns the options of a forwarder. `span` is the place of its section.
pub(super) fn forwarder_options(
    source: &SourceFile,
    span: &Span,
    section: &ForwardSection,
    drain_grace: Nanos,
) -> Result<ForwarderOptions, OperatorConfigError> {
    // A lease that is not shorter than the drain grace would let a planner's decision send new requests to a draining host after
    // the grace.
    let max_lease = drain_grace.saturating_sub(MILLI).min(MAX_LEASE);
    let default_lease = drain_grace
        .saturating_sub(DEFAULT_LEASE_MARGIN)
        .min(MAX_LEASE);
    if default_lease < MIN_LEASE {
        return Err(source.error(span, Problem::DrainGraceTooShort { drain_grace }));
    }
    let lease = source.duration(
        "lease",
        section.lease.as_ref(),
        default_lease,
        MIN_LEASE..=max_lease,
    )?;
    let min_decision_timeout = lease + lease / 4;
    Ok(ForwarderOptions {
        lease,
        decision_timeout: source.duration(
            "decide_within",
            section.decision_timeout.as_ref(),
            min_decision_timeout + lease / 4,
            min_decision_timeout..=30 * SECOND,
        )?,
        failback_delay: source.duration(
            "settle",
            section.failback_delay.as_ref(),
            2 * SECOND,
            0..=600 * SECOND,
        )?,
        max_awaiting_decision: source.count(
            "most_asked",
            section.max_awaiting_decision.as_ref(),
            1024,
            1 << 20,
        )?,
    })
}

/// Returns the options of a planner, whose name must be in the list of planners.
pub(super) fn planner_options(
    source: &SourceFile,
    section: &PlanSection,
    planners: &[PlannerAddress],
) -> Result<PlannerOptions, OperatorConfigError> {
    let name = section.name.get_ref();
    let Some(index) = planners.iter().position(|planner| planner.name == *name) else {
        return Err(source.error(&section.name.span(), Problem::UnknownPlanner(name.clone())));
    };
    let listen = match &section.listen {
        Some(listen) => source.address("listen", listen)?,
        None => planners[index].address,
    };
    Ok(PlannerOptions {
        name: name.clone(),
        planner_index: index as u32,
        listen,
        silence_timeout: source.duration(
            "silent",
            section.silence_timeout.as_ref(),
            SECOND,
            100 * MILLI..=60 * SECOND,
        )?,
        settle_time: source.duration(
            "settle",
            section.settle_time.as_ref(),
            50 * MILLI,
            0..=5 * SECOND,
        )?,
        max_requests_per_forwarder: source.count(
            "most_held",
            section.max_requests_per_forwarder.as_ref(),
            1 << 16,
            1 << 24,
        )?,
    })
}
