//! Conversions between the messages of `jackdawpin-wire` and the types of `jackdawpin-core`.

use jackdawpin_core::holder::control::Claim;
use jackdawpin_core::holder::control::Grant;
use jackdawpin_core::holder::control::HeartbeatMessage;
use jackdawpin_core::holder::event::Stamp;
use jackdawpin_core::holder::intent::DocumentVersion;
use jackdawpin_core::holder::lease::Target;
use jackdawpin_core::holder::member::Capacity;
use jackdawpin_core::holder::member::Heartbeat;
use jackdawpin_core::name;
use jackdawpin_wire as wire;

/// The message form of a timestamp of the hybrid logical clock.
pub fn stamp_to_wire(stamp: Stamp) -> wire::Stamp {
    wire::Stamp { millis: stamp.millis, counter: stamp.counter }
}

/// A timestamp of the hybrid logical clock from its message form.
pub fn stamp_from_wire(stamp: wire::Stamp) -> Stamp {
    Stamp { millis: stamp.millis, counter: stamp.counter }
}

/// The message form of the version of a document.
pub fn version_to_wire(version: DocumentVersion) -> wire::DocumentVersion {
    wire::DocumentVersion { number: version.number, digest: version.digest }
}

fn version_from_wire(version: wire::DocumentVersion) -> DocumentVersion {
    DocumentVersion { number: version.number, digest: version.digest }
}

/// The message form of a heartbeat.
pub fn heartbeat_to_wire(message: &HeartbeatMessage) -> wire::Heartbeat {
    let heartbeat = &message.heartbeat;
    let capacity = |capacity: &Capacity| wire::Capacity {
        service: capacity.service.to_string(),
        limit: capacity.limit,
        free: capacity.free,
    };
    wire::Heartbeat {
        from: message.from.to_string(),
        incarnation: heartbeat.incarnation,
        clock: stamp_to_wire(heartbeat.clock),
        config: heartbeat.config_version.map(version_to_wire),
        vms: heartbeat.list_version.map(version_to_wire),
        ready: heartbeat.ready,
        leaving: heartbeat.leaving,
        capacity: heartbeat.capacity.iter().map(capacity).collect(),
    }
}

/// A heartbeat from its message form.
///
/// # Errors
///
/// A name in the heartbeat is not valid.
pub fn heartbeat_from_wire(heartbeat: &wire::Heartbeat) -> Result<HeartbeatMessage, name::Error> {
    let capacity = |capacity: &wire::Capacity| {
        Ok(Capacity {
            service: name::Service::try_from(capacity.service.as_str())?,
            limit: capacity.limit,
            free: capacity.free,
        })
    };
    Ok(HeartbeatMessage {
        from: name::Vm::try_from(heartbeat.from.as_str())?,
        heartbeat: Heartbeat {
            incarnation: heartbeat.incarnation,
            clock: stamp_from_wire(heartbeat.clock),
            ready: heartbeat.ready,
            leaving: heartbeat.leaving,
            config_version: heartbeat.config.map(version_from_wire),
            list_version: heartbeat.vms.map(version_from_wire),
            capacity: heartbeat
                .capacity
                .iter()
                .map(capacity)
                .collect::<Result<_, name::Error>>()?,
        },
    })
}

/// The message form of a claim.
pub fn claim_to_wire(claim: &Claim<'_>) -> wire::Claim {
    wire::Claim {
        claimant: claim.claimant.to_string(),
        incarnation: claim.incarnation,
        round: claim.round,
        clock: stamp_to_wire(claim.clock),
        servers: claim.targets.iter().map(target_to_wire).collect(),
        released: claim.released.iter().map(target_to_wire).collect(),
    }
}

/// Servers from their message form.
///
/// # Errors
///
/// A name is not valid.
pub fn targets_from_wire(targets: &[wire::Target]) -> Result<Vec<Target>, name::Error> {
    let convert = |target: &wire::Target| {
        Ok(Target {
            service: name::Service::try_from(target.service.as_str())?,
            server: name::Vm::try_from(target.server.as_str())?,
        })
    };
    targets.iter().map(convert).collect()
}

fn target_to_wire(target: &Target) -> wire::Target {
    wire::Target { service: target.service.to_string(), server: target.server.to_string() }
}

/// The message form of the answer to a claim.
pub fn grant_to_wire(grant: &Grant) -> wire::Grant {
    wire::Grant {
        witness: grant.witness.to_string(),
        clock: stamp_to_wire(grant.clock),
        granted: grant.granted.clone(),
    }
}

/// The answer to a claim from its message form.
///
/// # Errors
///
/// The name of the witness is not valid.
pub fn grant_from_wire(grant: wire::Grant) -> Result<Grant, name::Error> {
    Ok(Grant {
        witness: name::Vm::try_from(grant.witness.as_str())?,
        clock: stamp_from_wire(grant.clock),
        granted: grant.granted,
    })
}
