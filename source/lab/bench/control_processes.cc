#include "lab/bench/control_processes.h"

#include <fmt/format.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <ctime>
#include <fstream>
#include <stdexcept>

#include "common/net/address.h"
#include "lab/wait.h"

namespace juniperway::lab {
namespace {

constexpr Duration kReadyTimeout = seconds(20);
constexpr Duration kLeaderTimeout = seconds(30);
constexpr Duration kRepairTimeout = seconds(60);
constexpr Duration kStatusTimeout = seconds(2);
constexpr int kStatusOk = 200;

// Free endpoints on an address that no other process picks from.
std::vector<std::string> FindFreeEndpoints(std::size_t count) {
  const auto process = static_cast<unsigned>(::getpid());
  const auto address = asio::ip::make_address(
      fmt::format("127.{}.{}.{}", 100 + process / 65536 % 100,
                  process / 256 % 256, 1 + process % 254));
  asio::io_context context;
  std::vector<asio::ip::tcp::acceptor> held;
  std::vector<std::string> endpoints;
  for (std::size_t number = 0; number < count; ++number) {
    held.emplace_back(context, asio::ip::tcp::endpoint(address, 0));
    endpoints.push_back(net::FormatEndpoint(held.back().local_endpoint()));
  }
  return endpoints;
}

}  // namespace

ProcessCost ReadProcessCost(pid_t pid) {
  std::ifstream statm(fmt::format("/proc/{}/statm", pid));
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  clockid_t clock = 0;
  timespec time{};
  const bool known = (statm >> total_pages >> resident_pages) &&
                     ::clock_getcpuclockid(pid, &clock) == 0 &&
                     ::clock_gettime(clock, &time) == 0;
  if (!known) {
    throw std::runtime_error(fmt::format("process {} has ended", pid));
  }
  return {seconds(time.tv_sec) + std::chrono::duration_cast<Duration>(
                                     std::chrono::nanoseconds(time.tv_nsec)),
          resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE))};
}

ControlProcesses::ControlProcesses(const std::string& binary,
                                   const std::filesystem::path& folder,
                                   std::size_t count)
    : binary_(binary),
      folder_(folder),
      peer_addresses_(FindFreeEndpoints(count)),
      http_addresses_(count),
      machines_(count) {
  for (std::size_t position = 0; position < count; ++position) {
    Launch(position);
  }
  client_ = std::make_unique<ControlClient>(http_addresses_);
  WaitForLeader();
}

void ControlProcesses::Launch(std::size_t position) {
  std::string members;
  for (std::size_t other = 0; other < machines_.size(); ++other) {
    members += fmt::format("{}'{}={}'", other == 0 ? "" : ", ", other + 1,
                           peer_addresses_[other]);
  }
  const std::string name = fmt::format("control-{}", position + 1);
  const std::string settings = (folder_ / (name + ".toml")).string();
  // The resource API keeps its port over restarts.
  const std::string http = http_addresses_[position].empty()
                               ? "127.0.0.1:0"
                               : http_addresses_[position];
  std::ofstream(settings) << fmt::format(
      "name = '{}'\ncluster = '{}'\nzone = 'zone'\nroles = ['control']\n"
      "data_folder = '{}'\n[control]\nnode_id = {}\nhttp_listen = '{}'\n"
      "peer_listen = '{}'\ninitial_members = [{}]\nbootstrap = true\n",
      name, kBenchCluster, (folder_ / name).string(), position + 1, http,
      peer_addresses_[position], members);
  auto process = ChildProcess::Start(binary_, {"--settings", settings},
                                     (folder_ / (name + ".log")).string());
  if (!process) {
    throw std::runtime_error(FormatError(process.error()));
  }
  machines_[position] = std::move(*process);
  const auto listeners = machines_[position]->WaitUntilReady(kReadyTimeout);
  if (!listeners) {
    throw std::runtime_error(FormatError(listeners.error()));
  }
  http_addresses_[position] = listeners->at("control.http");
}

void ControlProcesses::Restart(std::size_t position) { Launch(position); }

std::optional<std::size_t> ControlProcesses::Leader(std::size_t asked) {
  const ControlReply reply = client_->Get(asked, "/v1/status", kStatusTimeout);
  if (reply.status != kStatusOk ||
      !reply.body.value("leader_reachable", false)) {
    return std::nullopt;
  }
  return reply.body.at("leader").get<std::size_t>() - 1;
}

std::size_t ControlProcesses::WaitForLeader(
    std::optional<std::size_t> excluded) {
  std::optional<std::size_t> leader;
  const bool found = WaitFor(kLeaderTimeout, [&] {
    for (std::size_t asked = 0; asked < machines_.size(); ++asked) {
      leader = asked == excluded ? std::nullopt : Leader(asked);
      if (leader && leader != excluded) {
        return true;
      }
    }
    return false;
  });
  if (!found) {
    throw std::runtime_error("control has no leader");
  }
  return *leader;
}

void ControlProcesses::WaitUntilRepaired() {
  const bool repaired = WaitFor(kRepairTimeout, [this] {
    const ControlReply reply = client_->GetAnywhere("/v1/status");
    return reply.status == kStatusOk && reply.body.value("repaired", false);
  });
  if (!repaired) {
    throw std::runtime_error("control was not repaired");
  }
}

}  // namespace juniperway::lab
