// What holders of leased rates, routers and pools, and the leader of the
// control machines tell each other. It travels in heartbeats and the answers to
// them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/base/time.h"

namespace juniperway::quota {

// What a holder says of one key (a tenant).
struct RateRequest {
  std::string key;
  // A control machine that hands tokens on to the routers near it.
  bool is_pool = false;
  // Number of the last grant that it has taken in; 0: none.
  std::uint64_t held_grant = 0;
  // What that grant lets the holder do still: a new leader learns of it so.
  double held_rate = 0;
  double held_stock = 0;
  Duration held_left{};
  // Requests a second that it was asked for of late, refused ones among them.
  double demand = 0;
  // Requests that wait for a token, without those for which one was asked in a
  // report that is not answered yet.
  std::uint32_t waiting = 0;
  // Tokens that are missing in its stock, and were not asked for yet.
  std::uint32_t room = 0;
  // Tokens that came to it since its process started and that it neither used
  // nor keeps: the leader hands them out anew.
  double returned = 0;
};

// All that a holder says in one heartbeat.
struct RateReport {
  std::vector<RateRequest> requests;
  // Every lease that it holds is among them.
  bool complete = true;
};

// Term of grants that no leader makes.
inline constexpr std::uint64_t kAnyTerm = 0;

// The leader's answer on one key. Takes the place of the grant before it.
struct RateGrant {
  std::string key;
  // Grows with each grant, over all leaders. 0: tokens of a pool, which leave
  // the lease as it is.
  std::uint64_t number = 0;
  // Tokens a second that the router's stock grows by, while the lease lasts.
  double rate = 0;
  // Most tokens that the router may keep.
  double stock = 0;
  // Counted from when the router asked.
  Duration lease{};
  // Tokens to be used at once: by what waits, the rest goes into the stock.
  std::uint32_t tokens = 0;
  // Some of what waits gets no token: the fleet's limit is used up for so long.
  Duration wait{};
};

}  // namespace juniperway::quota
