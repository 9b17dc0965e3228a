//! Ids that several duties share.
//!
//! Names come from operators' files and are checked by
//! [`crate::settings::diagnostic::Checker::name`]; numbers are made by the system.

use rand::Rng;

/// Name of a box, unique in the fleet.
pub type BoxName = String;
/// Name of a failure domain.
pub type FailureDomainName = String;
/// Name of a region, which holds failure domains.
pub type RegionName = String;
/// Name of a pool of runners that hold the same model.
pub type PoolName = String;
/// Name of a model runner (an engine).
pub type RunnerName = String;
/// Name of an application service.
pub type ServiceName = String;
/// Names requests whose outputs have like lengths.
pub type RequestKind = String;
/// Name of a workspace.
pub type WorkspaceName = String;
/// Number that an operator gives a fleet file; it only grows.
pub type ConfigNumber = u64;
/// Life of a process under one name; a later life has a larger number.
pub type Incarnation = u64;
/// Priority that a workspace pays for; a larger one waits less.
pub type Priority = u8;
/// Position of a token in its answer, from 0.
pub type TokenIndex = u64;
/// Id of one generation at an engine.
pub type GenerationId = String;
/// Id of one attempt to read a generation or to call a service.
pub type AttemptId = String;
/// SHA-256 digest.
pub type Digest = [u8; 32];

/// Makes an id that no other process will make.
pub fn new_id() -> AttemptId {
    format!("{:032x}", rand::rng().random::<u128>())
}
