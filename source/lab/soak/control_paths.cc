#include "lab/soak/control_paths.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace juniperway::lab {

using nlohmann::json;

SoakControlPaths::SoakControlPaths(const std::vector<SoakMachine>& machines,
                                   const std::vector<SoakControlPath>& paths,
                                   std::uint64_t seed)
    : work_(context_.get_executor()) {
  proxy_.random.seed(seed);
  json described = json::array();
  for (const SoakMachine& machine : machines) {
    described.push_back({{"name", machine.name},
                         {"address", machine.address},
                         {"zone", machine.zone},
                         {"region", "r"}});
  }
  const auto set = proxy_.topology.SetMachines({{"machines", described}});
  if (!set) {
    throw std::logic_error(FormatError(set.error()));
  }
  for (const SoakControlPath& path : paths) {
    links_.push_back(std::make_unique<Link>(context_, proxy_, path.machine,
                                            path.machine, path.listen));
    links_.back()->SetTarget(path.target);
  }
  thread_ = std::thread([this] { context_.run(); });
}

SoakControlPaths::~SoakControlPaths() {
  work_.reset();
  context_.stop();
  thread_.join();
}

void SoakControlPaths::SetFaults(const std::string& faults_json) {
  asio::post(context_, [this, faults_json] {
    const auto set = proxy_.topology.SetFaults(json::parse(faults_json));
    if (!set) {
      throw std::logic_error(FormatError(set.error()));
    }
    for (const auto& link : links_) {
      link->Wake();
    }
  });
}

void SoakControlPaths::Reset(std::size_t path) {
  asio::post(context_,
             [this, path] { links_.at(path)->Reset(MachineSelector{}); });
}

}  // namespace juniperway::lab
