#include "common/control/watch_list.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "common/control/resource_api.h"
#include "common/resources/resource_json.h"

namespace juniperway::control {
namespace {

using nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusGone = 410;

json DescribeChange(const ControlState& state,
                    const resources::ResourceId& id) {
  const resources::Resource* resource = state.fleet().Find(id);
  if (resource != nullptr) {
    return {{"type", "put"},
            {"resource", resources::ResourceToJson(*resource)}};
  }
  return {{"type", "delete"},
          {"resource",
           {{"kind", resources::KindName(id.kind)}, {"name", id.name}}}};
}

net::HttpResponse GoneResponse() {
  return net::ErrorResponse(
      kStatusGone,
      {ErrorCode::kNotFound, "from",
       "is a revision whose changes this control node does not have or no "
       "longer keeps: list the resources and watch from the list's revision"},
      "not-run");
}

}  // namespace

void WatchList::Add(resources::Revision from, MonotonicTime deadline,
                    ApiCallback answer) {
  Watcher watcher{from, deadline, std::move(answer)};
  if (!TryAnswer(watcher)) {
    watchers_.push_back(std::move(watcher));
  }
}

void WatchList::OnStateChanged() {
  std::erase_if(watchers_,
                [this](const Watcher& watcher) { return TryAnswer(watcher); });
}

void WatchList::Tick(MonotonicTime now) {
  const resources::Revision revision = state_().revision();
  std::erase_if(watchers_, [now, revision](const Watcher& watcher) {
    if (now < watcher.deadline) {
      return false;
    }
    watcher.answer(watcher.from > revision
                       ? GoneResponse()
                       : JsonResponse(kStatusOk, {{"revision", revision},
                                                  {"items", json::array()}}));
    return true;
  });
}

bool WatchList::TryAnswer(const Watcher& watcher) const {
  const ControlState& state = state_();
  if (state.revision() <= watcher.from) {
    return false;
  }
  const auto changed = state.ResourcesChangedSince(watcher.from);
  if (!changed) {
    watcher.answer(GoneResponse());
    return true;
  }
  if (changed->empty()) {
    return false;  // Only members or reports changed.
  }
  json items = json::array();
  for (const resources::ResourceId& id : *changed) {
    items.push_back(DescribeChange(state, id));
  }
  watcher.answer(JsonResponse(kStatusOk, {{"revision", state.revision()},
                                          {"items", std::move(items)}}));
  return true;
}

}  // namespace juniperway::control
