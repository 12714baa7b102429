// The operator of a soak who evacuates zones, one at a time, on a thread of its
// own. It leaves a control machine that does not answer soon and goes on to
// another one, with the same order or the next.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "lab/blocking_http.h"
#include "lab/soak/callers.h"

namespace juniperway::lab {

class SoakEvacuator {
 public:
  SoakEvacuator(SoakShared& shared, std::uint64_t seed);

  // Until `stop`: evacuates zones and returns them. The last order may not have
  // been acknowledged.
  void Run();
  // Gives an order until it is acknowledged, or `limit` is over.
  bool Order(const std::string& zone, bool evacuated, Duration limit);
  // Waits until every daemon has the evacuation of the zone in force.
  bool AwaitInForce(const std::string& zone, Duration limit);
  // One reading at one control machine, kept in the history where it answers.
  bool Read(std::size_t control);

 private:
  // The evacuations, as one control machine tells them; no JSON object where it
  // does not answer.
  nlohmann::json List(std::size_t control);
  // Reads and waits, for a random time.
  void Watch();

  SoakShared& shared_;
  std::mt19937_64 random_;
  BlockingHttp http_;
};

}  // namespace juniperway::lab
