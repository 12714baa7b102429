#include "lab/soak/fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "daemon/settings.h"
#include "lab/blocking_http.h"
#include "lab/fleet/loopback.h"

namespace juniperway::lab {
namespace {

constexpr Duration kStartLimit = seconds(60);
constexpr Duration kStatusTimeout = seconds(1);
// Addresses of control machines end in 1, 2, …; behind the proxy in these; of
// routers in those.
constexpr std::size_t kFirstHiddenAddress = 51;
constexpr std::size_t kFirstRouterAddress = 101;

// As many as a quorum of all machines can bear, where the settings take it.
std::int64_t ToleratedLosses(std::size_t controls) {
  return std::min(static_cast<std::int64_t>(controls - 1) / 2,
                  daemon::kMaximumToleratedLosses);
}

asio::ip::tcp::endpoint Endpoint(const std::string& address,
                                 std::uint16_t port) {
  return {asio::ip::make_address(address), port};
}

}  // namespace

SoakFleet::SoakFleet(SoakFleetOptions options)
    : options_(std::move(options)), network_(OwnLoopbackNetwork()) {
  http_port_ = FreePort(network_ + ".1");
  peer_port_ = FreePort(network_ + ".1");
  for (std::size_t i = 0; i < options_.routers; ++i) {
    router_ports_.push_back(FreePort(RouterIp(i)));
  }
  MakePaths();
  controls_.resize(options_.controls);
  routers_.resize(options_.routers);
  for (std::size_t i = 0; i < controls_.size(); ++i) {
    StartControl(i, /*bootstrap=*/true);
  }
  for (std::size_t i = 0; i < routers_.size(); ++i) {
    StartRouter(i);
  }
}

void SoakFleet::MakePaths() {
  const auto zone_of = [this](std::size_t number) {
    return options_.zones.at(number % options_.zones.size());
  };
  std::vector<SoakMachine> machines;
  std::vector<SoakControlPath> paths;
  for (std::size_t i = 0; i < options_.controls; ++i) {
    const std::string name = fmt::format("control-{}", i);
    machines.push_back({name, ControlIp(i), zone_of(i)});
    paths.push_back({name, Endpoint(ControlIp(i), peer_port_),
                     Endpoint(HiddenControlIp(i), peer_port_)});
  }
  for (std::size_t i = 0; i < options_.routers; ++i) {
    machines.push_back({fmt::format("router-{}", i), RouterIp(i), zone_of(i)});
  }
  paths_ = std::make_unique<SoakControlPaths>(machines, paths, options_.seed);
}

std::string SoakFleet::ControlIp(std::size_t number) const {
  return fmt::format("{}.{}", network_, number + 1);
}

std::string SoakFleet::HiddenControlIp(std::size_t number) const {
  return fmt::format("{}.{}", network_, kFirstHiddenAddress + number);
}

std::string SoakFleet::RouterIp(std::size_t number) const {
  return fmt::format("{}.{}", network_, kFirstRouterAddress + number);
}

std::string SoakFleet::ControlAddress(std::size_t number) const {
  return fmt::format("{}:{}", ControlIp(number), http_port_);
}

std::string SoakFleet::RouterAddress(std::size_t number) const {
  return fmt::format("{}:{}", RouterIp(number), router_ports_.at(number));
}

std::filesystem::path SoakFleet::DataFolder(std::size_t number) const {
  return options_.folder / fmt::format("control-{}", number);
}

void SoakFleet::Wipe(std::size_t number) const {
  std::filesystem::remove_all(DataFolder(number));
}

// What settings of both roles begin with.
std::string SoakFleet::Common(const std::string& name, std::size_t number,
                              const std::string& address) const {
  std::string seeds;
  for (std::size_t i = 0; i < options_.controls; ++i) {
    seeds += fmt::format("{}\"{}\"", i == 0 ? "" : ", ", ControlAddress(i));
  }
  return fmt::format(
      "name = \"{}-{}\"\ncluster = \"soak\"\nzone = \"{}\"\nregion = \"r\"\n"
      "roles = [\"{}\"]\ncontrol_seeds = [{}]\ncontrol_peer_port = {}\n"
      "stop_timeout_s = 6\nsource_address = \"{}\"\n",
      name, number, options_.zones.at(number % options_.zones.size()), name,
      seeds, peer_port_, address);
}

void SoakFleet::StartControl(std::size_t number, bool bootstrap) {
  const std::string address = ControlIp(number);
  const std::string settings =
      Common("control", number, address) +
      fmt::format(
          "data_folder = \"{}\"\n[control]\nhttp_listen = \"{}\"\n"
          "peer_listen = \"{}:{}\"\npeer_advertise = \"{}:{}\"\n"
          "bootstrap = {}\nopen_api = true\nelection_timeout_ms = 500\n"
          "tolerated_losses = {}\n"
          "discovery_url = \"{}\"\ndiscovery_interval_ms = 200\n",
          DataFolder(number).string(), ControlAddress(number),
          HiddenControlIp(number), peer_port_, address, peer_port_, bootstrap,
          ToleratedLosses(options_.controls), options_.list_url);
  controls_.at(number) =
      StartProcess(fmt::format("control-{}", number), settings);
}

void SoakFleet::StartRouter(std::size_t number) {
  std::string zones;
  for (const std::string& zone : options_.zones) {
    zones += fmt::format("\"{}\" = \"r\"\n", zone);
  }
  const std::string address = RouterIp(number);
  const std::string settings =
      Common("router", number, address) +
      fmt::format(
          "[router]\nhttp_listen = \"{}\"\nready_listen = \"{}:0\"\n"
          "extra_ratio = 0.2\nextra_slack = 60\nextra_window_s = 10\n"
          "[router.zones]\n{}",
          RouterAddress(number), address, zones);
  routers_.at(number) =
      StartProcess(fmt::format("router-{}", number), settings);
}

std::optional<ChildProcess> SoakFleet::StartProcess(
    const std::string& name, const std::string& settings) const {
  const std::filesystem::path file = options_.folder / (name + ".toml");
  std::ofstream(file) << settings;
  auto process = ChildProcess::Start(
      (options_.binary_folder / "juniperwayd").string(),
      {"--settings", file.string()}, options_.folder / (name + ".log"));
  if (!process) {
    throw std::runtime_error(FormatError(process.error()));
  }
  if (const auto ready = process->WaitUntilReady(kStartLimit); !ready) {
    throw std::runtime_error(name + ": " + FormatError(ready.error()));
  }
  return std::move(*process);
}

bool SoakFleet::IsWhole() {
  BlockingHttp http;
  const auto response =
      http.Get("http://" + ControlAddress(0) + "/v1/status", kStatusTimeout);
  const auto status = nlohmann::json::parse(response.body, nullptr,
                                            /*allow_exceptions=*/false);
  return status.is_object() && status.value("repaired", false) &&
         status.value("voters", 0U) == controls_.size();
}

}  // namespace juniperway::lab
