#include "lab/proxy/proxy.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "common/net/address.h"
#include "lab/events.h"
#include "lab/json_reader.h"
#include "lab/json_response.h"

namespace juniperway::lab {
namespace {

constexpr std::string_view kEveryLink = "*";

nlohmann::json LinkToJson(const Link& link) {
  const LinkCounters counters = link.counters();
  return {{"name", link.name()},
          {"machine", link.machine()},
          {"listen", net::FormatEndpoint(link.endpoint())},
          {"connections", counters.connections},
          {"refused", counters.refused},
          {"open", counters.open},
          {"peak_open", counters.peak_open},
          {"bytes_to_target", counters.bytes_to_target},
          {"bytes_from_target", counters.bytes_from_target}};
}

}  // namespace

Proxy::Proxy(asio::io_context& context,
             const asio::ip::tcp::endpoint& control_endpoint,
             std::uint64_t seed)
    : context_(context) {
  state_.random.seed(seed);
  net::HttpServerOptions options;
  options.endpoint = control_endpoint;
  control_ = std::make_unique<net::HttpServer>(
      context, options,
      [this](const net::HttpRequest& request,
             const std::shared_ptr<net::HttpResponder>& responder) {
        Handle(request, *responder);
      });
}

void Proxy::Handle(const net::HttpRequest& request,
                   net::HttpResponder& responder) {
  if (Result<void> applied = Apply(request); !applied) {
    responder.Send(net::ErrorResponse(net::HttpStatusOf(applied.error().code),
                                      applied.error(), "not-run"));
    return;
  }
  responder.Send(JsonResponse(Describe()));
}

Result<void> Proxy::Apply(const net::HttpRequest& request) {
  if (request.method == "GET" && request.path == "/v1/proxy") {
    return {};
  }
  const nlohmann::json json =
      nlohmann::json::parse(request.body, nullptr, false);
  if (request.method == "POST" && request.path == "/v1/machines") {
    return state_.topology.SetMachines(json);
  }
  if (request.method == "POST" && request.path == "/v1/links") {
    return SetLinks(json);
  }
  if (request.method == "POST" && request.path == "/v1/reset") {
    return ResetConnections(json);
  }
  if (request.method == "POST" && request.path == "/v1/faults") {
    Result<void> set = state_.topology.SetFaults(json);
    logging::LogEvent(kProxyRulesChanged, {{"faults", request.body}});
    for (const auto& [name, link] : links_) {
      link->Wake();
    }
    return set;
  }
  return MakeError(ErrorCode::kNotFound, "path", "no such call");
}

Result<void> Proxy::SetLinks(const nlohmann::json& json) {
  JsonReader reader(json);
  const nlohmann::json items = reader.Member("links");
  if (Result<void> finished = reader.Finish(); !finished) {
    return finished;
  }
  for (const nlohmann::json& item : items) {
    std::string name;
    std::string machine;
    std::string target;
    bool listening = true;
    JsonReader item_reader(item, "link.");
    item_reader.Required("name", name)
        .Required("machine", machine)
        .Optional("target", target)
        .Optional("listening", listening);
    if (Result<void> finished = item_reader.Finish(); !finished) {
      return finished;
    }
    std::unique_ptr<Link>& link = links_[name];
    if (!link) {
      link = std::make_unique<Link>(context_, state_, name, machine);
    }
    link->SetListening(listening);
    if (target.empty()) {
      continue;
    }
    const auto endpoint = net::ParseEndpoint(target, "link.target");
    if (!endpoint) {
      return tl::unexpected<Error>(endpoint.error());
    }
    link->SetTarget(*endpoint);
  }
  return {};
}

Result<void> Proxy::ResetConnections(const nlohmann::json& json) {
  std::string name(kEveryLink);
  std::string from = "*";
  JsonReader reader(json);
  reader.Optional("link", name).Optional("from", from);
  if (Result<void> finished = reader.Finish(); !finished) {
    return finished;
  }
  const Result<MachineSelector> selector = ParseSelector(from);
  if (!selector) {
    return tl::unexpected<Error>(selector.error());
  }
  for (const auto& [link_name, link] : links_) {
    if (name == kEveryLink || name == link_name) {
      link->Reset(*selector);
    }
  }
  return {};
}

nlohmann::json Proxy::Describe() const {
  nlohmann::json links = nlohmann::json::array();
  for (const auto& [name, link] : links_) {
    links.push_back(LinkToJson(*link));
  }
  return {{"links", links}};
}

}  // namespace juniperway::lab
