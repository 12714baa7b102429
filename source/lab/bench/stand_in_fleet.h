// Stand-in back ends in processes of their own, so that their work is not
// counted as the product's.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "common/session/fleet_view.h"
#include "lab/blocking_http.h"
#include "lab/fleet/child_process.h"

namespace juniperway::lab {

struct StandInShape {
  // The key space, split evenly; one shard each.
  std::uint32_t partitions = 64;
  // Back ends of each shard; number r lies in zone r.
  std::uint32_t replicas = 1;
  std::uint32_t slots = 5;
  std::uint32_t connections = 75;
  Duration service_time = milliseconds(2);
  // Of the lognormal distribution of service times.
  double sigma = 0;
  std::uint32_t records_per_partition = 4;
  std::uint32_t processes = 4;
  std::uint64_t seed = 1;
};

inline constexpr const char* kBenchService = "search";

class StandInFleet {
 public:
  // Throws std::runtime_error when it cannot start (set-up fault).
  explicit StandInFleet(const StandInShape& shape);
  ~StandInFleet();
  StandInFleet(const StandInFleet&) = delete;
  StandInFleet& operator=(const StandInFleet&) = delete;

  const StandInShape& shape() const { return shape_; }
  // "ip:port" by back end name.
  const std::map<std::string, std::string>& addresses() const {
    return addresses_;
  }
  static std::string BackendName(std::uint32_t partition,
                                 std::uint32_t replica);
  // Services, back ends, reports and the snapshot; without members.
  session::FleetView MakeView() const;

  // Changes the behaviour of one back end, or of all ("*"); fields as in
  // lab::Behaviour's JSON form.
  void ChangeBehaviour(const std::string& backend,
                       const nlohmann::json& behaviour);
  // Subqueries begun by all back ends since their start.
  std::uint64_t TotalBegun();

 private:
  struct Process {
    ChildProcess child;
    std::string lab_address;
    std::vector<std::string> backends;
  };

  void StartProcess(std::uint32_t number);

  StandInShape shape_;
  std::string folder_;
  std::vector<Process> processes_;
  std::map<std::string, std::string> addresses_;
  BlockingHttp http_;
};

}  // namespace juniperway::lab
