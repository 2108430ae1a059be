//! The text form of a schedule: one line each for the seed, the number of nodes, and every fault. A `#` starts a
//! comment that ends with the line.

use super::{FaultSchedule, PlannedFault, ScheduledFault};
use crate::network::LinkFaults;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// The letter of the first part of a partition; the others follow in the order of the alphabet.
const FIRST_PART: u8 = b'a';
const MAX_PARTS: usize = 26;

/// Why a text could not be parsed as a schedule.
#[derive(Clone, Debug, PartialEq)]
pub enum ScheduleError {
    /// A line is not in one of the known forms.
    BadLine {
        /// The number of the line, counted from 1.
        number: usize,
        /// The text of the line.
        line: String,
    },
    /// A fault names nodes that the fleet does not have.
    DoesNotFit {
        /// The fault.
        fault: ScheduledFault,
        /// The number of nodes of the fleet.
        nodes: usize,
    },
    /// No line sets the number of nodes, or it is 0.
    NodesMissing,
}

impl fmt::Display for ScheduleError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ScheduleError::BadLine { number, line } => {
                write!(out, "line {number}: {line:?} is not a valid schedule line")
            }
            ScheduleError::DoesNotFit { fault, nodes } => {
                write!(out, "{fault:?} does not fit {nodes} nodes")
            }
            ScheduleError::NodesMissing => out.write_str("the number of nodes is missing or 0"),
        }
    }
}

impl std::error::Error for ScheduleError {}

impl fmt::Display for FaultSchedule {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        writeln!(out, "seed {}\nnodes {}", self.seed, self.nodes)?;
        for planned in &self.faults {
            let (start, duration) = (planned.start_millis, planned.duration_millis);
            writeln!(out, "at {start} for {duration} {}", planned.fault)?;
        }
        Ok(())
    }
}

impl fmt::Display for ScheduledFault {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ScheduledFault::Kill(node) => write!(out, "kill {node}"),
            ScheduledFault::Pause(node) => write!(out, "still {node}"),
            ScheduledFault::Slow(node) => write!(out, "slow {node}"),
            ScheduledFault::StartTwin(node) => write!(out, "twin {node}"),
            ScheduledFault::Partition(parts) => {
                let letters: String = parts
                    .iter()
                    .map(|part| (FIRST_PART + *part as u8) as char)
                    .collect();
                write!(out, "part {letters}")
            }
            ScheduledFault::DropOneWay(from, to) => write!(out, "deaf {from} {to}"),
            ScheduledFault::Lossy(faults) => write!(
                out,
                "lossy {} {} {} {} {}",
                faults.loss,
                faults.duplicate,
                faults.corrupt,
                faults.truncate,
                faults.delay.as_millis()
            ),
            ScheduledFault::Down => out.write_str("down"),
            ScheduledFault::Hang => out.write_str("hang"),
            ScheduledFault::Silent => out.write_str("silent"),
            ScheduledFault::Sluggish => out.write_str("sluggish"),
            ScheduledFault::Refuse(of_ten) => write!(out, "refuse {of_ten}"),
            ScheduledFault::Older => out.write_str("older"),
        }
    }
}

impl FromStr for FaultSchedule {
    type Err = ScheduleError;

    fn from_str(text: &str) -> Result<Self, ScheduleError> {
        let mut schedule = FaultSchedule {
            seed: 0,
            nodes: 0,
            faults: Vec::new(),
        };
        for (index, line) in text.lines().enumerate() {
            let code = line.split('#').next().unwrap_or("");
            let words: Vec<&str> = code.split_whitespace().collect();
            if words.is_empty() {
                continue;
            }
            schedule
                .parse_line(&words)
                .ok_or_else(|| ScheduleError::BadLine {
                    number: index + 1,
                    line: line.to_string(),
                })?;
        }
        schedule.check_nodes()?;
        Ok(schedule)
    }
}

impl FaultSchedule {
    /// Applies one line to the schedule; `None` if the line is malformed.
    fn parse_line(&mut self, words: &[&str]) -> Option<()> {
        match words {
            ["seed", seed] => self.seed = seed.parse().ok()?,
            ["nodes", nodes] => self.nodes = nodes.parse().ok()?,
            ["at", start, "for", duration, fault @ ..] => self.faults.push(PlannedFault {
                start_millis: start.parse().ok()?,
                duration_millis: duration.parse().ok()?,
                fault: parse_fault(fault)?,
            }),
            _ => return None,
        }
        Some(())
    }

    /// Checks that the number of nodes is set and that each fault fits it.
    fn check_nodes(&self) -> Result<(), ScheduleError> {
        let misfit = self
            .faults
            .iter()
            .find(|planned| !planned.fault.fits(self.nodes));
        match misfit {
            Some(planned) => Err(ScheduleError::DoesNotFit {
                fault: planned.fault.clone(),
                nodes: self.nodes,
            }),
            None if self.nodes == 0 => Err(ScheduleError::NodesMissing),
            None => Ok(()),
        }
    }
}

impl ScheduledFault {
    /// Returns whether a fleet of this many nodes has all the nodes that the fault refers to.
    fn fits(&self, nodes: usize) -> bool {
        match self {
            ScheduledFault::Kill(node)
            | ScheduledFault::Pause(node)
            | ScheduledFault::Slow(node)
            | ScheduledFault::StartTwin(node) => *node < nodes,
            ScheduledFault::DropOneWay(from, to) => *from < nodes && *to < nodes,
            ScheduledFault::Partition(parts) => {
                parts.len() == nodes && parts.iter().all(|part| *part < MAX_PARTS)
            }
            _ => true,
        }
    }
}

fn parse_fault(words: &[&str]) -> Option<ScheduledFault> {
    Some(match words {
        ["kill", node] => ScheduledFault::Kill(node.parse().ok()?),
        ["still", node] => ScheduledFault::Pause(node.parse().ok()?),
        ["slow", node] => ScheduledFault::Slow(node.parse().ok()?),
        ["twin", node] => ScheduledFault::StartTwin(node.parse().ok()?),
        ["part", letters] => ScheduledFault::Partition(
            letters
                .bytes()
                .map(|letter| usize::from(letter.wrapping_sub(FIRST_PART)))
                .collect(),
        ),
        ["deaf", from, to] => ScheduledFault::DropOneWay(from.parse().ok()?, to.parse().ok()?),
        ["lossy", loss, duplicate, corrupt, truncate, delay_millis] => {
            ScheduledFault::Lossy(LinkFaults {
                cut: false,
                loss: loss.parse().ok()?,
                duplicate: duplicate.parse().ok()?,
                corrupt: corrupt.parse().ok()?,
                truncate: truncate.parse().ok()?,
                delay: Duration::from_millis(delay_millis.parse().ok()?),
            })
        }
        ["down"] => ScheduledFault::Down,
        ["hang"] => ScheduledFault::Hang,
        ["silent"] => ScheduledFault::Silent,
        ["sluggish"] => ScheduledFault::Sluggish,
        ["refuse", of_ten] => ScheduledFault::Refuse(of_ten.parse().ok()?),
        ["older"] => ScheduledFault::Older,
        _ => return None,
    })
}
