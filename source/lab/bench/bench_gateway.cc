#include "lab/bench/bench_gateway.h"

#include <sstream>
#include <utility>

#include "common/net/address.h"

namespace juniperway::lab {
namespace {

const asio::ip::tcp::endpoint kLoopback(asio::ip::address_v4::loopback(), 0);

std::string ZoneName(std::uint32_t zone) {
  return "zone-" + std::to_string(zone);
}

}  // namespace

BenchGateway::BenchGateway(const StandInFleet& stand_ins,
                           const GatewayShape& shape)
    : separate_owners_(shape.separate_owners) {
  session::FleetView view = stand_ins.MakeView();
  if (shape.service) {
    shape.service(view.services[kBenchService]);
  }
  for (std::uint32_t zone = 0; zone < stand_ins.shape().replicas; ++zone) {
    AddOwner(zone, view);
  }
  session_.SetView(std::make_shared<const session::FleetView>(std::move(view)));
  for (const auto& owner : owners_) {
    owner->OnView(session_.View());
    owner->OnProgress();
  }
  gateway::FrontOptions options;
  options.daemon_id = "front";
  options.zone = ZoneName(0);
  options.region = "region";
  options.http_listen = kLoopback;
  options.random_seed = stand_ins.shape().seed;
  options.replica_policy = shape.replica_policy;
  registries_.push_back(std::make_unique<prometheus::Registry>());
  front_ = std::make_unique<gateway::FrontServer>(
      front_loop_.context(), options, session_, *registries_.back());
  const std::string base =
      "http://" + net::FormatEndpoint(front_->local_endpoint());
  query_url_ = base + "/v1/services/" + kBenchService + "/query";
  metrics_url_ = base + "/metrics";
  front_loop_.Start();
  if (separate_owners_) {
    owner_loop_.Start();
  }
}

BenchGateway::~BenchGateway() {
  front_loop_.Stop();
  owner_loop_.Stop();
}

void BenchGateway::AddOwner(std::uint32_t zone, session::FleetView& view) {
  gateway::OwnerOptions options;
  options.daemon_id = "owner-" + std::to_string(zone);
  options.incarnation = 1;
  options.zone = ZoneName(zone);
  options.listen = kLoopback;
  registries_.push_back(std::make_unique<prometheus::Registry>());
  owners_.push_back(std::make_unique<gateway::OwnerServer>(
      separate_owners_ ? owner_loop_.context() : front_loop_.context(), options,
      session_, *registries_.back()));
  session::Member member;
  member.daemon_id = options.daemon_id;
  member.incarnation = 1;
  member.zone = options.zone;
  member.region = "region";
  member.gateway = true;
  member.peer_address = net::FormatEndpoint(owners_.back()->local_endpoint());
  view.members[member.daemon_id] = member;
}

Duration BenchGateway::CpuTime() {
  return front_loop_.CpuTime() + OwnerCpuTime();
}

Duration BenchGateway::OwnerCpuTime() {
  return separate_owners_ ? owner_loop_.CpuTime() : Duration::zero();
}

double BenchGateway::Counter(const std::string& name,
                             const std::string& label) {
  std::istringstream lines(http_.Get(metrics_url_).body);
  double total = 0;
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(name) && line.find(label) != std::string::npos) {
      total += std::stod(line.substr(line.rfind(' ')));
    }
  }
  return total;
}

}  // namespace juniperway::lab
