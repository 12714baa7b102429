// The resource API's calls on zone evacuations and on requests that crashed
// backends.
#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

#include "common/control/events.h"
#include "common/control/resource_api.h"
#include "common/session/control_frames.h"

namespace juniperway::control {
namespace {

using nlohmann::json;

constexpr int kStatusOk = 200;
constexpr std::size_t kMaximumZoneNameBytes = 128;

// Parses the form that ToText writes.
std::optional<RequestFingerprint> ParseFingerprint(const std::string& text) {
  constexpr std::size_t kDigits = 16;
  constexpr int kBase = 16;
  RequestFingerprint fingerprint;
  const char* end = text.data() + text.size();
  const auto parsed =
      std::from_chars(text.data(), end, fingerprint.value, kBase);
  const bool is_number = parsed.ec == std::errc() && parsed.ptr == end;
  return is_number && text.size() == kDigits ? std::optional(fingerprint)
                                             : std::nullopt;
}

}  // namespace

// --- Evacuations -------------------------------------------------------------

void ResourceApi::SetEvacuation(const ApiCall& call, const std::string& zone,
                                bool evacuated,
                                const ApiCallback& answer) const {
  if (zone.size() > kMaximumZoneNameBytes) {
    answer(FailureResponse(
        {ErrorCode::kInvalidArgument, "zone", "must have at most 128 bytes"}));
    return;
  }
  protocol::SetZoneEvacuationT operation;
  operation.change_id = call.change_id;
  operation.digest = DigestOf(call);
  operation.zone = zone;
  operation.evacuated = evacuated;
  logging::LogEvent(kEvacuationOrdered, {{"change", call.change_id},
                                         {"zone", zone},
                                         {"evacuated", evacuated},
                                         {"backends", CountBackendsIn(zone)}});
  Submit(session::MakeOperation(std::move(operation)), call, answer);
}

std::size_t ResourceApi::CountBackendsIn(const std::string& zone) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      ports_.state().fleet().discovered,
      [&zone](const auto& entry) { return entry.second.zone == zone; }));
}

net::HttpResponse ResourceApi::ListEvacuations() const {
  const ControlState& state = ports_.state();
  json items = json::array();
  for (const auto& [zone, evacuation] : state.fleet().evacuations) {
    json item = {
        {"zone", zone},
        {"since_ms", ToMilliseconds(evacuation.since.time_since_epoch())},
        {"change_id", evacuation.change_id},
        {"backends", CountBackendsIn(zone)}};
    if (const auto* change = state.FindChange(evacuation.change_id)) {
      const RevisionProgress progress =
          ports_.leases().ProgressOf(change->revision);
      item["daemons"] = progress.daemons;
      item["confirmed"] = progress.confirmed;
    }
    items.push_back(std::move(item));
  }
  return JsonResponse(
      kStatusOk, {{"revision", state.revision()}, {"items", std::move(items)}});
}

// --- Numbers of orders -------------------------------------------------------

net::HttpResponse ResourceApi::GetOrders() const {
  // A committed change of the members is never taken back, so that a later one
  // is at a higher position in the log, whoever leads.
  return JsonResponse(kStatusOk,
                      {{kLatestOrderField, ports_.state().orders().latest()},
                       {kLatestMembersField, ports_.raft_status().commit}});
}

// --- Requests that crashed backends ------------------------------------------

net::HttpResponse ResourceApi::ListCrashingRequests() const {
  const ControlState& state = ports_.state();
  json items = json::array();
  for (const auto& [request, record] : state.fleet().crashes) {
    items.push_back(
        {{"fingerprint", ToText(request)},
         {"quarantined", record.quarantined},
         {"ended_backends", record.ended_backends},
         {"since_ms", ToMilliseconds(record.since.time_since_epoch())},
         {"latest_ms", ToMilliseconds(record.latest.time_since_epoch())}});
  }
  return JsonResponse(
      kStatusOk, {{"revision", state.revision()}, {"items", std::move(items)}});
}

void ResourceApi::ReleaseRequest(const ApiCall& call,
                                 const std::string& fingerprint,
                                 const ApiCallback& answer) const {
  const auto request = ParseFingerprint(fingerprint);
  if (!request) {
    answer(FailureResponse({ErrorCode::kInvalidArgument, "fingerprint",
                            "must be 16 hexadecimal digits"}));
    return;
  }
  protocol::JudgeCrashesT operation;
  operation.change_id = call.change_id;
  operation.digest = DigestOf(call);
  operation.release = {request->value};
  logging::LogEvent(kRequestReleased, {{"fingerprint", fingerprint},
                                       {"reason", "released by an operator"}});
  Submit(session::MakeOperation(std::move(operation)), call, answer);
}

}  // namespace juniperway::control
