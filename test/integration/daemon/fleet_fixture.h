// A small fleet of real processes for the daemon's tests: one service in one
// zone, replicas on several back ends.
#pragma once

#include <doctest/doctest.h>

#include <cstdint>
#include <memory>
#include <string>
#include <thread>

#include "lab/blocking_http.h"
#include "lab/caller/load.h"
#include "lab/fleet/fleet.h"
#include "support/temporary_folder.h"

namespace juniperway::test {

inline const std::string kService = "search";
inline constexpr std::uint32_t kShards = 8;

struct FleetShape {
  std::uint32_t control_machines = 1;
  std::uint32_t gateways = 2;
  std::uint32_t backends = 4;
  std::uint32_t replicas = 2;
  Duration service_time = milliseconds(4);
};

// Gateways are "a-gateway-1" onwards, control machines "control-1" onwards.
struct TestFleet {
  // Started, declared and ready, or the test ends.
  explicit TestFleet(const FleetShape& shape);

  net::HttpClientResponse Query(const std::string& gateway);
  // Asks for everything through the gateway, and checks that the answer is
  // whole, of this index version and right row by row.
  void CheckWholeAnswer(const std::string& gateway);

  TemporaryFolder folder;
  std::unique_ptr<lab::Fleet> fleet;
  lab::BlockingHttp http;
};

// Open-loop load on all gateways, on a thread of its own.
class BackgroundLoad {
 public:
  BackgroundLoad(lab::Fleet& fleet, double rate, std::uint64_t seed);
  ~BackgroundLoad();
  BackgroundLoad(const BackgroundLoad&) = delete;
  BackgroundLoad& operator=(const BackgroundLoad&) = delete;

  // Ends the load and waits for its last query.
  lab::LoadResult Finish();

 private:
  asio::io_context context_{1};
  std::unique_ptr<lab::Load> load_;
  lab::LoadResult result_;
  std::thread thread_;
};

}  // namespace juniperway::test
