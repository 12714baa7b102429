#include "lab/backend/host.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "lab/events.h"
#include "lab/json_reader.h"
#include "lab/json_response.h"

namespace juniperway::lab {
namespace {

constexpr std::string_view kEveryBackend = "*";

// POST /v1/lab, parsed.
struct LabChange {
  std::string backend;
  nlohmann::json behaviour;
  std::vector<Holding> hold;
  std::vector<resources::IndexVersion> retire;
  bool crash = false;
  bool restart = false;
  bool cold = false;
};

Result<LabChange> ParseChange(const std::string& body) {
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
  LabChange change;
  JsonReader reader(json);
  reader.Required("backend", change.backend)
      .Optional("retire", change.retire)
      .Optional("crash", change.crash)
      .Optional("restart", change.restart)
      .Optional("cold", change.cold);
  change.behaviour = reader.Member("behaviour");
  const nlohmann::json holdings = reader.Member("hold");
  if (Result<void> finished = reader.Finish(); !finished) {
    return tl::unexpected<Error>(finished.error());
  }
  for (const nlohmann::json& item : holdings) {
    Result<Holding> holding = ParseHolding(item);
    if (!holding) {
      return tl::unexpected<Error>(holding.error());
    }
    change.hold.push_back(*std::move(holding));
  }
  return change;
}

Result<void> ApplyChange(const LabChange& change, BackendServer& server) {
  const MonotonicTime now = ReadMonotonicClock();
  BackendModel& model = server.model();
  if (!change.behaviour.is_null()) {
    Result<Behaviour> behaviour =
        ChangeBehaviour(model.behaviour(), change.behaviour);
    if (!behaviour) {
      return tl::unexpected<Error>(behaviour.error());
    }
    model.SetBehaviour(*behaviour, now);
    logging::LogEvent(kBehaviourChanged,
                      {{"backend", model.settings().name},
                       {"behaviour", change.behaviour.dump()}});
  }
  for (const Holding& holding : change.hold) {
    model.Hold(holding);
  }
  for (const resources::IndexVersion version : change.retire) {
    model.Retire(version);
  }
  if (change.cold) {
    model.StartCold(now);
  }
  if (change.crash) {
    server.Crash();
    logging::LogEvent(kBackendCrashed, {{"backend", model.settings().name}});
  }
  if (change.restart) {
    server.Restart();
    logging::LogEvent(kBackendRestarted, {{"backend", model.settings().name}});
  }
  return {};
}

nlohmann::json CountersToJson(const BackendCounters& counters) {
  return {{"arrived", counters.arrived},
          {"begun", counters.begun},
          {"finished", counters.finished},
          {"shed", counters.shed},
          {"refused_wrong_version", counters.refused_wrong_version},
          {"refused_draining", counters.refused_draining},
          {"refused_expired", counters.refused_expired},
          {"cancelled", counters.cancelled},
          {"deadline_passed", counters.deadline_passed},
          {"arrived_over_slots", counters.arrived_over_slots},
          {"begun_while_draining", counters.begun_while_draining},
          {"last_begun_after_drain_ms",
           FractionalMilliseconds(counters.last_begun_after_drain)},
          {"peak_running", counters.peak_running},
          {"peak_connections", counters.peak_connections}};
}

}  // namespace

BackendHost::BackendHost(asio::io_context& context,
                         const std::vector<BackendSettings>& backends,
                         const asio::ip::tcp::endpoint& control_endpoint,
                         Ledger* ledger) {
  for (const BackendSettings& settings : backends) {
    servers_.push_back(
        std::make_unique<BackendServer>(context, settings, ledger));
  }
  net::HttpServerOptions options;
  options.endpoint = control_endpoint;
  control_ = std::make_unique<net::HttpServer>(
      context, options,
      [this](const net::HttpRequest& request,
             const std::shared_ptr<net::HttpResponder>& responder) {
        Handle(request, *responder);
      });
}

void BackendHost::Handle(const net::HttpRequest& request,
                         net::HttpResponder& responder) {
  if (request.path != "/v1/lab") {
    responder.Send(net::ErrorResponse(
        404, {ErrorCode::kNotFound, "path", "no such call"}, "not-run"));
    return;
  }
  if (request.method == "POST") {
    if (Result<void> changed = Change(request.body); !changed) {
      responder.Send(net::ErrorResponse(net::HttpStatusOf(changed.error().code),
                                        changed.error(), "not-run"));
      return;
    }
  }
  responder.Send(JsonResponse(Describe()));
}

Result<void> BackendHost::Change(const std::string& body) {
  const Result<LabChange> change = ParseChange(body);
  if (!change) {
    return tl::unexpected<Error>(change.error());
  }
  bool found = false;
  for (const auto& server : servers_) {
    if (change->backend != kEveryBackend &&
        change->backend != server->model().settings().name) {
      continue;
    }
    found = true;
    if (Result<void> applied = ApplyChange(*change, *server); !applied) {
      return applied;
    }
  }
  if (!found) {
    return MakeError(ErrorCode::kNotFound, "backend", "is not hosted here");
  }
  return {};
}

nlohmann::json BackendHost::Describe() const {
  nlohmann::json backends = nlohmann::json::array();
  for (const auto& server : servers_) {
    const BackendModel& model = server->model();
    backends.push_back(
        {{"name", model.settings().name},
         {"service", model.settings().service},
         {"slots", model.settings().slots},
         {"maximum_connections", model.settings().maximum_connections},
         {"crashed", server->crashed()},
         {"draining", model.behaviour().draining},
         {"running", model.running()},
         {"counters", CountersToJson(model.counters())}});
  }
  return {{"backends", backends}};
}

}  // namespace juniperway::lab
