// The resource API's calls on roll-outs.
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
constexpr std::size_t kLongestVersion = 128;
// A canary needs time to start and to be listed, some two seconds.
constexpr double kShortestDurationSeconds = 1;
constexpr double kLongestDurationSeconds = 86'400;

struct RolloutOrder {
  std::string service;
  std::string target_version;
  double duration_seconds = 0;
};

Result<RolloutOrder> ParseOrder(const std::string& text) {
  const Result<json> body = ParseJson(text);
  if (!body) {
    return tl::unexpected(NameBody(body.error()));
  }
  RolloutOrder order;
  JsonReader reader(*body, "");
  reader.Text("service", &order.service, Presence::kRequired);
  reader.Text("target_version", &order.target_version, Presence::kRequired);
  reader.Fraction("duration_s", &order.duration_seconds,
                  {kShortestDurationSeconds, kLongestDurationSeconds},
                  Presence::kRequired);
  if (order.service.empty()) {
    reader.Fail("service", "must not be empty");
  }
  if (order.target_version.empty() ||
      order.target_version.size() > kLongestVersion) {
    reader.Fail("target_version", "must have 1 to 128 characters");
  }
  if (order.duration_seconds == 0) {
    reader.Fail("duration_s", "must be given");
  }
  if (const auto error = reader.Finish()) {
    return tl::unexpected(NameBody(*error));
  }
  return order;
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
  const auto order = ParseOrder(call.body);
  if (!order) {
    answer(FailureResponse(order.error()));
    return;
  }
  const std::string& service = order->service;
  if (!IsForwardedService(service)) {
    answer(FailureResponse({ErrorCode::kInvalidArgument, "service",
                            "there is no service " + service}));
    return;
  }
  protocol::StartRolloutT operation;
  operation.change_id = call.change_id;
  operation.digest = DigestOf(call);
  operation.service = service;
  operation.target_version = order->target_version;
  operation.duration_us = FromSeconds(order->duration_seconds).count();
  operation.share_permille = rollout::ObservingShare(ports_.exposure);
  logging::LogEvent(kRolloutOrdered,
                    {{"change", call.change_id},
                     {"service", service},
                     {"target_version", order->target_version},
                     {"duration_s", order->duration_seconds},
                     {"share_permille", operation.share_permille}});
  // A conflict names the roll-out that is under way.
  const ApiCallback with_current = [this, service,
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
  Submit(session::MakeOperation(std::move(operation)), call, with_current);
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
    return FailureResponse(
        {ErrorCode::kNotFound, "service", "has no roll-out"});
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
    described["other_answers"] = evidence.other_answers;
    described["other_bad_share"] = evidence.other_bad_share;
    described["score"] = evidence.score;
    described["witnesses"] = evidence.witnesses;
  }
  return described;
}

}  // namespace juniperway::control
