#include "lab/fleet/stand_ins.h"

#include <fmt/format.h>

#include <fstream>
#include <utility>

namespace juniperway::lab {
namespace {

constexpr Duration kReadyTimeout = seconds(20);
constexpr std::size_t kBackendsPerHost = 40;
constexpr int kOk = 200;

struct Started {
  ChildProcess process;
  std::map<std::string, std::string> addresses;
};

Result<Started> StartLab(const StandInOptions& options,
                         const std::vector<std::string>& arguments,
                         const std::string& log_name) {
  Result<ChildProcess> process = ChildProcess::Start(
      options.binary_folder + "/juniperway-lab", arguments,
      fmt::format("{}/{}.log", options.work_folder, log_name));
  if (!process) {
    return tl::unexpected<Error>(process.error());
  }
  auto addresses = process->WaitUntilReady(kReadyTimeout);
  if (!addresses) {
    return tl::unexpected<Error>(addresses.error());
  }
  return Started{*std::move(process), *std::move(addresses)};
}

}  // namespace

Result<std::unique_ptr<StandIns>> StandIns::Start(
    const Layout& layout, const StandInOptions& options) {
  std::unique_ptr<StandIns> stand_ins(new StandIns);
  Result<void> started = stand_ins->StartHosts(layout, options);
  if (started) {
    started = stand_ins->StartProxy(options);
  }
  if (started) {
    started = stand_ins->StartPlatform(options);
  }
  if (!started) {
    return tl::unexpected<Error>(started.error());
  }
  return stand_ins;
}

Result<void> StandIns::StartHosts(const Layout& layout,
                                  const StandInOptions& options) {
  std::vector<BackendSettings> batch;
  std::uint64_t seed = options.seed;
  for (const ServiceLayout& service : layout.services) {
    for (const BackendPlan& backend : service.backends) {
      batch.push_back(
          MakeBackendSettings(service, backend, options.index_version, ++seed));
      if (batch.size() == kBackendsPerHost) {
        if (Result<void> started = StartHost(batch, options); !started) {
          return started;
        }
        batch.clear();
      }
    }
  }
  return batch.empty() ? Result<void>() : StartHost(batch, options);
}

Result<void> StandIns::StartHost(const std::vector<BackendSettings>& backends,
                                 const StandInOptions& options) {
  const std::string name = fmt::format("backends-{}", hosts_.size() + 1);
  const std::string path = fmt::format("{}/{}.json", options.work_folder, name);
  const std::string ledger =
      fmt::format("{}/{}.ledger", options.work_folder, name);
  nlohmann::json items = nlohmann::json::array();
  for (const BackendSettings& settings : backends) {
    items.push_back(BackendSettingsToJson(settings));
    host_of_backend_[settings.name] = hosts_.size();
  }
  std::ofstream(path) << nlohmann::json{{"backends", items}}.dump();
  Result<Started> started =
      StartLab(options, {"backend", "--file", path, "--ledger", ledger}, name);
  if (!started) {
    return tl::unexpected<Error>(started.error());
  }
  for (const BackendSettings& settings : backends) {
    backend_addresses_[settings.name] =
        started->addresses["backend." + settings.name];
  }
  hosts_.push_back(
      {std::move(started->process), started->addresses["lab"], ledger});
  return {};
}

Result<void> StandIns::StartProxy(const StandInOptions& options) {
  Result<Started> started = StartLab(
      options, {"proxy", "--seed", std::to_string(options.seed)}, "proxy");
  if (!started) {
    return tl::unexpected<Error>(started.error());
  }
  proxy_address_ = started->addresses["lab"];
  others_.push_back(std::move(started->process));
  return {};
}

Result<void> StandIns::StartPlatform(const StandInOptions& options) {
  Result<Started> started = StartLab(options, {"platform"}, "platform");
  if (!started) {
    return tl::unexpected<Error>(started.error());
  }
  platform_address_ = started->addresses["platform"];
  others_.push_back(std::move(started->process));
  return {};
}

Result<nlohmann::json> StandIns::Post(const std::string& address,
                                      const std::string& path,
                                      const nlohmann::json& body) {
  const net::HttpClientResponse response = http_.Post(
      fmt::format("http://{}{}", address, path), body.dump(), seconds(20));
  if (response.status != kOk) {
    return MakeError(ErrorCode::kUnavailable, path,
                     fmt::format("status {}: {} {}", response.status,
                                 response.transport_error, response.body));
  }
  return nlohmann::json::parse(response.body, nullptr, false);
}

Result<void> StandIns::SetMachines(const nlohmann::json& json) {
  return Post(proxy_address_, "/v1/machines", json).map([](const auto&) {});
}

Result<void> StandIns::SetLinks(const std::vector<ProxyLink>& links) {
  nlohmann::json items = nlohmann::json::array();
  for (const ProxyLink& link : links) {
    items.push_back({{"name", link.name},
                     {"machine", link.machine},
                     {"target", link.target},
                     {"listening", link.listening}});
  }
  const Result<nlohmann::json> state =
      Post(proxy_address_, "/v1/links", {{"links", items}});
  if (!state) {
    return tl::unexpected<Error>(state.error());
  }
  for (const nlohmann::json& link : state->at("links")) {
    link_addresses_[link.at("name")] = link.at("listen");
  }
  return {};
}

Result<void> StandIns::SetFaults(const nlohmann::json& faults) {
  return Post(proxy_address_, "/v1/faults", {{"faults", faults}})
      .map([](const auto&) {});
}

Result<void> StandIns::ResetConnections(const std::string& link,
                                        const std::string& from) {
  return Post(proxy_address_, "/v1/reset", {{"link", link}, {"from", from}})
      .map([](const auto&) {});
}

Result<std::uint64_t> StandIns::RefusedConnections(const std::string& link) {
  const net::HttpClientResponse response =
      http_.Get(fmt::format("http://{}/v1/proxy", proxy_address_));
  if (response.status != kOk) {
    return MakeError(ErrorCode::kUnavailable, "/v1/proxy",
                     response.transport_error);
  }
  const nlohmann::json state = nlohmann::json::parse(response.body);
  for (const nlohmann::json& item : state.at("links")) {
    if (item.at("name") == link) {
      return item.at("refused").get<std::uint64_t>();
    }
  }
  return MakeError(ErrorCode::kNotFound, link, "is no link");
}

const std::string& StandIns::LinkAddress(const std::string& link) const {
  return link_addresses_.at(link);
}

Result<void> StandIns::ChangeBackend(const std::string& backend,
                                     const nlohmann::json& change) {
  nlohmann::json body = change;
  body["backend"] = backend;
  const Host& host = hosts_[host_of_backend_.at(backend)];
  return Post(host.control_address, "/v1/lab", body).map([](const auto&) {});
}

std::string StandIns::BackendLink(const std::string& backend) {
  return "backend/" + backend;
}

Result<void> StandIns::CrashBackend(const BackendPlan& backend) {
  Result<void> refused = SetLinks(
      {{BackendLink(backend.name), backend.name, "", /*listening=*/false}});
  return refused ? ChangeBackend(backend.name, {{"crash", true}}) : refused;
}

Result<void> StandIns::RestartBackend(const BackendPlan& backend) {
  Result<void> restarted = ChangeBackend(backend.name, {{"restart", true}});
  return restarted ? SetLinks({{BackendLink(backend.name), backend.name, ""}})
                   : restarted;
}

const std::string& StandIns::BackendAddress(const std::string& backend) const {
  return backend_addresses_.at(backend);
}

Result<void> StandIns::ChangePlatform(
    const std::map<std::string, std::string>& states) {
  return Post(platform_address_, "/v1/lab", {{"machines", states}})
      .map([](const auto&) {});
}

Result<void> StandIns::SetPlatformLag(Duration lag) {
  return Post(platform_address_, "/v1/lab", {{"lag_ms", ToMilliseconds(lag)}})
      .map([](const auto&) {});
}

Result<std::vector<LedgerEntry>> StandIns::ReadLedgers() const {
  std::vector<LedgerEntry> entries;
  for (const Host& host : hosts_) {
    Result<std::vector<LedgerEntry>> part = ReadLedger(host.ledger_path);
    if (!part) {
      return part;
    }
    entries.insert(entries.end(), part->begin(), part->end());
  }
  return entries;
}

Result<std::vector<LimitRecord>> StandIns::ReadLimits() {
  std::vector<LimitRecord> limits;
  for (const Host& host : hosts_) {
    const net::HttpClientResponse response =
        http_.Get(fmt::format("http://{}/v1/lab", host.control_address));
    if (response.status != kOk) {
      return MakeError(ErrorCode::kUnavailable, "/v1/lab",
                       response.transport_error);
    }
    const nlohmann::json state = nlohmann::json::parse(response.body);
    for (const nlohmann::json& backend : state.at("backends")) {
      const nlohmann::json& counters = backend.at("counters");
      limits.push_back({backend.at("name"), counters.at("arrived"),
                        counters.at("arrived_over_slots"),
                        counters.at("peak_connections"),
                        backend.at("maximum_connections")});
    }
  }
  return limits;
}

}  // namespace juniperway::lab
