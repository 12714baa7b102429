// A gateway (front and owners) on threads of its own, whose processor time can
// be read: the product under measurement.
#pragma once

#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/gateway/front_server.h"
#include "common/gateway/owner_server.h"
#include "lab/bench/fixed_session.h"
#include "lab/bench/loop_thread.h"
#include "lab/bench/stand_in_fleet.h"

namespace juniperway::lab {

struct GatewayShape {
  routing::ReplicaPolicy replica_policy =
      routing::ReplicaPolicy::kLeastLoadedOfTwo;
  // Changes the service before the start; may be empty.
  std::function<void(resources::Service&)> service;
  // The owners get a thread of their own, to tell the two tiers' cost apart.
  bool separate_owners = false;
};

class BenchGateway {
 public:
  // One owner a zone of the stand-ins.
  BenchGateway(const StandInFleet& stand_ins, const GatewayShape& shape);
  ~BenchGateway();
  BenchGateway(const BenchGateway&) = delete;
  BenchGateway& operator=(const BenchGateway&) = delete;

  // "http://ip:port/v1/services/search/query".
  const std::string& query_url() const { return query_url_; }
  // Processor time since the start, of both tiers; of the owners alone where
  // they are separate.
  Duration CpuTime();
  Duration OwnerCpuTime();
  // A counter of the front, all labels together; `label` picks lines that hold
  // it, e.g. "kind=\"hedge\"".
  double Counter(const std::string& name, const std::string& label = "");

 private:
  void AddOwner(std::uint32_t zone, session::FleetView& view);

  LoopThread front_loop_{"front"};
  LoopThread owner_loop_{"owner"};
  bool separate_owners_;
  FixedSession session_;
  std::vector<std::unique_ptr<prometheus::Registry>> registries_;
  std::vector<std::unique_ptr<gateway::OwnerServer>> owners_;
  std::unique_ptr<gateway::FrontServer> front_;
  std::string query_url_;
  std::string metrics_url_;
  BlockingHttp http_;
};

}  // namespace juniperway::lab
