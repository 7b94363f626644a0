//! Conversions between messages and the types of the decisions.

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

/// The stamp as it is sent.
pub fn stamp(stamp: Stamp) -> wire::Stamp {
    wire::Stamp { millis: stamp.millis, counter: stamp.counter }
}

/// A received stamp.
pub fn read_stamp(stamp: wire::Stamp) -> Stamp {
    Stamp { millis: stamp.millis, counter: stamp.counter }
}

/// The place of a document as it is sent.
pub fn order(order: DocumentVersion) -> wire::DocumentVersion {
    wire::DocumentVersion { number: order.number, digest: order.digest }
}

fn read_order(order: wire::DocumentVersion) -> DocumentVersion {
    DocumentVersion { number: order.number, digest: order.digest }
}

/// The heartbeat as it is sent.
pub fn hello(hello: &HeartbeatMessage) -> wire::Heartbeat {
    let beat = &hello.heartbeat;
    let capacity = |capacity: &Capacity| wire::Capacity {
        service: capacity.service.to_string(),
        limit: capacity.limit,
        free: capacity.free,
    };
    wire::Heartbeat {
        from: hello.from.to_string(),
        incarnation: beat.incarnation,
        clock: stamp(beat.clock),
        config: beat.config_version.map(order),
        vms: beat.list_version.map(order),
        ready: beat.ready,
        leaving: beat.leaving,
        capacity: beat.capacity.iter().map(capacity).collect(),
    }
}

/// A received heartbeat.
///
/// # Errors
///
/// A name in it is not valid.
pub fn read_hello(beat: &wire::Heartbeat) -> Result<HeartbeatMessage, name::Error> {
    let capacity = |capacity: &wire::Capacity| {
        Ok(Capacity {
            service: name::Service::try_from(capacity.service.as_str())?,
            limit: capacity.limit,
            free: capacity.free,
        })
    };
    Ok(HeartbeatMessage {
        from: name::Vm::try_from(beat.from.as_str())?,
        heartbeat: Heartbeat {
            incarnation: beat.incarnation,
            clock: read_stamp(beat.clock),
            ready: beat.ready,
            leaving: beat.leaving,
            config_version: beat.config.map(read_order),
            list_version: beat.vms.map(read_order),
            capacity: beat.capacity.iter().map(capacity).collect::<Result<_, name::Error>>()?,
        },
    })
}

/// The claim as it is sent.
pub fn claim(claim: &Claim<'_>) -> wire::Claim {
    wire::Claim {
        claimant: claim.claimant.to_string(),
        incarnation: claim.incarnation,
        round: claim.round,
        clock: stamp(claim.clock),
        servers: claim.targets.iter().map(target).collect(),
        released: claim.released.iter().map(target).collect(),
    }
}

/// Received servers.
///
/// # Errors
///
/// A name is not valid.
pub fn read_targets(targets: &[wire::Target]) -> Result<Vec<Target>, name::Error> {
    let read = |target: &wire::Target| {
        Ok(Target {
            service: name::Service::try_from(target.service.as_str())?,
            server: name::Vm::try_from(target.server.as_str())?,
        })
    };
    targets.iter().map(read).collect()
}

fn target(target: &Target) -> wire::Target {
    wire::Target { service: target.service.to_string(), server: target.server.to_string() }
}

/// The answer to a claim as it is sent.
pub fn grant(grant: &Grant) -> wire::Grant {
    wire::Grant {
        witness: grant.witness.to_string(),
        clock: stamp(grant.clock),
        granted: grant.granted.clone(),
    }
}

/// A received answer to a claim.
///
/// # Errors
///
/// The witness's name is not valid.
pub fn read_grant(grant: wire::Grant) -> Result<Grant, name::Error> {
    Ok(Grant {
        witness: name::Vm::try_from(grant.witness.as_str())?,
        clock: read_stamp(grant.clock),
        granted: grant.granted,
    })
}
