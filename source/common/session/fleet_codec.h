// The fleet's types to and from their FlatBuffers records, and updates of a
// fleet view.
#pragma once

#include "common/base/error.h"
#include "common/protocol/fleet_generated.h"
#include "common/resources/resource.h"
#include "common/session/fleet_view.h"

namespace juniperway::session {

protocol::ResourceRecordT EncodeResource(const resources::Resource& resource);
// @return kInvalidArgument when the record has no specification or a value
//   outside its type.
Result<resources::Resource> DecodeResource(
    const protocol::ResourceRecordT& record);

protocol::ResourceKeyT EncodeResourceId(const resources::ResourceId& id);
resources::ResourceId DecodeResourceId(const protocol::ResourceKeyT& key);

protocol::FleetMemberT EncodeMember(const Member& member);
Member DecodeMember(const protocol::FleetMemberT& member);

protocol::BackendReportRecordT EncodeReport(const std::string& backend,
                                            const BackendReport& report);
BackendReport DecodeReport(const protocol::BackendReportRecordT& record);

protocol::DiscoveredBackendRecordT EncodeDiscovered(
    const DiscoveredBackend& backend);
DiscoveredBackend DecodeDiscovered(
    const protocol::DiscoveredBackendRecordT& record);

protocol::ZoneEvacuationRecordT EncodeEvacuation(
    const std::string& zone, const ZoneEvacuation& evacuation);
ZoneEvacuation DecodeEvacuation(const protocol::ZoneEvacuationRecordT& record);

protocol::CrashingRequestRecordT EncodeCrashingRequest(
    RequestFingerprint fingerprint, const CrashingRequest& request);
CrashingRequest DecodeCrashingRequest(
    const protocol::CrashingRequestRecordT& record);

protocol::RunningRolloutRecordT EncodeRunningRollout(
    const std::string& service, const RunningRollout& rollout);
RunningRollout DecodeRunningRollout(
    const protocol::RunningRolloutRecordT& record);

// Whether `update` may be put on top of a view at `revision`: it starts at or
// before that revision and leads past it.
bool IsApplicable(const protocol::FleetUpdateT& update,
                  resources::Revision revision);

// A new view: `base` with `update` on top. Requires IsApplicable.
Result<FleetViewPointer> ApplyUpdate(const FleetView& base,
                                     const protocol::FleetUpdateT& update);

}  // namespace juniperway::session
