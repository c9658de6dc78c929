#pragma once

/// The measured roles. Each prints its samples, lines and values at the two-year size.
namespace rattanrack::capacity {

/// What the control plane of one node takes at the target size.
struct ControlPlane {
    double wireBytesPerSecond { 0 };
    double tableBytesPerSecond { 0 };
    double coreShare { 0 }; ///< Of one processor core, 0 to 1.
    double stateBytes { 0 };
    double tableReadsPerSecond { 0 };
    double tableWritesPerSecond { 0 };
};

/// Bytes on the wire of one heartbeat with its share of Cap'n Proto RPC, by members named in it.
double measureHeartbeatBytes(double members);

ControlPlane measureControlPlane(double nodes, double duties);

/// Table bytes a second and node that changes of the configuration cost.
double measureConfigBytes(double pools, double changesPerDay);
void measureTrafficAndFleet();
void measureClaims();
void measureMetrics();

} // namespace rattanrack::capacity
