// The resource API's calls on rollouts.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "common/base/compression.h"
#include "common/base/json_reader.h"
#include "common/control/events.h"
#include "common/control/resource_api.h"
#include "common/rollout/rollout_plan.h"
#include "common/routes/route_table.h"
#include "common/session/control_frames.h"

namespace juniperway::control {
namespace {

using nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;
constexpr std::size_t kMaximumVersionBytes = 128;
// Minimum duration of a rollout: a canary takes about two seconds to start and
// to appear in the discovery list.
constexpr double kMinimumDurationSeconds = 1;
constexpr double kMaximumDurationSeconds = 86'400;

// The body of a call that starts a rollout.
struct RolloutRequest {
  std::string service;
  std::string target_version;
  double duration_seconds = 0;
};

Result<RolloutRequest> ParseRolloutRequest(const std::string& text) {
  const Result<json> body = ParseJson(text);
  if (!body) {
    return tl::unexpected(WithBodyField(body.error()));
  }
  RolloutRequest request;
  JsonReader reader(*body, "");
  reader.Text("service", &request.service, Presence::kRequired);
  reader.Text("target_version", &request.target_version, Presence::kRequired);
  reader.Fraction("duration_s", &request.duration_seconds,
                  {kMinimumDurationSeconds, kMaximumDurationSeconds},
                  Presence::kRequired);
  if (request.service.empty()) {
    reader.Fail("service", "must not be empty");
  }
  if (request.target_version.empty() ||
      request.target_version.size() > kMaximumVersionBytes) {
    reader.Fail("target_version", "must have 1 to 128 bytes");
  }
  if (request.duration_seconds == 0) {
    reader.Fail("duration_s", "must be given");
  }
  if (const auto error = reader.Finish()) {
    return tl::unexpected(WithBodyField(*error));
  }
  return request;
}

}  // namespace

bool ResourceApi::IsForwardedService(const std::string& service) const {
  const FleetStore& fleet = ports_.state().fleet();
  const bool is_discovered = std::ranges::any_of(
      fleet.discovered,
      [&](const auto& entry) { return entry.second.service == service; });
  if (is_discovered || fleet.route_table.version == 0) {
    return is_discovered;
  }
  const auto text = Decompress(fleet.route_table.content);
  const auto table =
      text ? routes::ParseRouteTable(*text)
           : Result<routes::RouteTable>(tl::unexpected(text.error()));
  return table && table->services.contains(service);
}

void ResourceApi::StartRollout(const ApiCall& call,
                               const ApiCallback& answer) const {
  const auto request = ParseRolloutRequest(call.body);
  if (!request) {
    answer(FailureResponse(request.error()));
    return;
  }
  const std::string& service = request->service;
  if (!IsForwardedService(service)) {
    answer(FailureResponse({ErrorCode::kInvalidArgument, "service",
                            "there is no service " + service}));
    return;
  }
  protocol::StartRolloutT operation;
  operation.change_id = call.change_id;
  operation.digest = DigestOf(call);
  operation.service = service;
  operation.target_version = request->target_version;
  operation.duration_us = FromSeconds(request->duration_seconds).count();
  operation.share_permille = rollout::ObservingShare(ports_.exposure);
  logging::LogEvent(kRolloutOrdered,
                    {{"change", call.change_id},
                     {"service", service},
                     {"target_version", request->target_version},
                     {"duration_s", request->duration_seconds},
                     {"share_permille", operation.share_permille}});
  // The answer to a conflict shows the rollout that is already running.
  const ApiCallback answer_with_current = [this, service,
                                           answer](net::HttpResponse response) {
    const auto& rollouts = ports_.state().fleet().rollouts;
    const auto current = rollouts.find(service);
    if (response.status == kStatusConflict && current != rollouts.end()) {
      json body = json::parse(response.body);
      body["current"] = DescribeRollout(service, current->second);
      response = JsonResponse(response.status, body);
    }
    answer(std::move(response));
  };
  Submit(session::MakeOperation(std::move(operation)), call,
         answer_with_current);
}

void ResourceApi::RemoveRollout(const ApiCall& call, const std::string& service,
                                const ApiCallback& answer) const {
  protocol::RemoveRolloutT operation;
  operation.change_id = call.change_id;
  operation.digest = DigestOf(call);
  operation.service = service;
  Submit(session::MakeOperation(std::move(operation)), call, answer);
}

net::HttpResponse ResourceApi::ListRollouts() const {
  const ControlState& state = ports_.state();
  json items = json::array();
  for (const auto& [service, rollout] : state.fleet().rollouts) {
    items.push_back(DescribeRollout(service, rollout));
  }
  return JsonResponse(
      kStatusOk, {{"revision", state.revision()}, {"items", std::move(items)}});
}

net::HttpResponse ResourceApi::GetRollout(const std::string& service) const {
  const auto& rollouts = ports_.state().fleet().rollouts;
  const auto found = rollouts.find(service);
  if (found == rollouts.end()) {
    return FailureResponse({ErrorCode::kNotFound, "service", "has no rollout"});
  }
  return JsonResponse(kStatusOk, DescribeRollout(service, found->second));
}

json ResourceApi::DescribeRollout(const std::string& service,
                                  const rollout::Rollout& rollout) const {
  json described = {
      {"service", service},
      {"state", rollout::NameOf(rollout.state)},
      {"target_version", rollout.target_version},
      {"phase", rollout::NameOf(rollout.phase)},
      {"share_permille", rollout.share_permille},
      {"ordered_ms", ToMilliseconds(rollout.ordered_at.time_since_epoch())},
      {"duration_s", ToSeconds(rollout.duration)},
      {"reason", rollout.reason},
      {"change_id", rollout.change_id},
      {"in_force", ports_.leases().in_force() >= rollout.revision}};
  if (rollout.running()) {
    const rollout::Evidence evidence = ports_.rollouts().EvidenceOf(service);
    described["canary_answers"] = evidence.canary_answers;
    described["canary_bad"] = evidence.canary_bad;
    described["other_answers"] = evidence.baseline_answers;
    described["other_bad_share"] = evidence.baseline_bad_share;
    described["score"] = evidence.score;
    described["witnesses"] = evidence.witnesses;
  }
  return described;
}

}  // namespace juniperway::control
