#include "lab/platform/platform.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "lab/json_reader.h"
#include "lab/json_response.h"

namespace juniperway::lab {

void LaggingList::Change(const MachineStates& changes, MonotonicTime now) {
  MachineStates states =
      versions_.empty() ? MachineStates() : versions_.back().states;
  for (const auto& [name, state] : changes) {
    if (state.empty()) {
      states.erase(name);
    } else {
      states[name] = state;
    }
  }
  versions_.push_back({now, std::move(states)});
}

MachineStates LaggingList::Visible(MonotonicTime now) const {
  MachineStates visible;
  for (const Version& version : versions_) {
    if (version.time <= now - lag_) {
      visible = version.states;
    }
  }
  return visible;
}

PlatformServer::PlatformServer(asio::io_context& context,
                               const asio::ip::tcp::endpoint& endpoint) {
  net::HttpServerOptions options;
  options.endpoint = endpoint;
  server_ = std::make_unique<net::HttpServer>(
      context, options,
      [this](const net::HttpRequest& request,
             const std::shared_ptr<net::HttpResponder>& responder) {
        Handle(request, *responder);
      });
}

void PlatformServer::Handle(const net::HttpRequest& request,
                            net::HttpResponder& responder) {
  if (request.method == "POST" && request.path == "/v1/lab") {
    if (Result<void> changed = Change(request.body); !changed) {
      responder.Send(net::ErrorResponse(net::HttpStatusOf(changed.error().code),
                                        changed.error(), "not-run"));
      return;
    }
  } else if (request.method != "GET" || request.path != "/v1/machines") {
    responder.Send(net::ErrorResponse(
        404, {ErrorCode::kNotFound, "path", "no such call"}, "not-run"));
    return;
  }
  responder.Send(JsonResponse(Describe()));
}

Result<void> PlatformServer::Change(const std::string& body) {
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
  Duration lag(-1);
  MachineStates machines;
  JsonReader reader(json);
  reader.Milliseconds("lag_ms", lag).Optional("machines", machines);
  if (Result<void> finished = reader.Finish(); !finished) {
    return finished;
  }
  if (lag >= Duration(0)) {
    list_.SetLag(lag);
  }
  list_.Change(machines, ReadMonotonicClock());
  return {};
}

nlohmann::json PlatformServer::Describe() const {
  nlohmann::json machines = nlohmann::json::array();
  for (const auto& [name, state] : list_.Visible(ReadMonotonicClock())) {
    machines.push_back({{"name", name}, {"state", state}});
  }
  return {{"machines", machines}};
}

}  // namespace juniperway::lab
