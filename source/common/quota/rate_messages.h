// Messages between the holders of leased rates (routers and pools) and the
// leader of the control nodes. They are sent in heartbeats and their answers.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/base/time.h"

namespace juniperway::quota {

// A holder's state and request for one key (a tenant).
struct RateRequest {
  std::string key;
  // Whether the holder is a control node's pool, which passes tokens on to the
  // routers near it.
  bool is_pool = false;
  // Number of the last grant that the holder accepted; 0 if there is none.
  std::uint64_t held_grant = 0;
  // Leased rate, maximum reserve and remaining lease time of that grant, for a
  // leader that did not make the grant.
  double held_rate = 0;
  double held_reserved_tokens = 0;
  Duration held_remaining{};
  // Recent requests a second at the holder, refused ones included.
  double demand = 0;
  // Requests queued for a token, without those for which an unanswered report
  // has requested one.
  std::uint32_t queued_requests = 0;
  // Tokens that fit into the holder's reserve and that no unanswered report has
  // requested.
  std::uint32_t missing_reserve = 0;
  // Tokens that the holder got since its process started and neither used nor
  // kept. The leader grants them again.
  double returned = 0;
};

// Everything that a holder reports in one heartbeat.
struct RateReport {
  std::vector<RateRequest> requests;
  // Whether `requests` contains every lease that the holder has.
  bool complete = true;
};

// Term of grants that a pool makes without the leader.
inline constexpr std::uint64_t kPoolGrantTerm = 0;

// The leader's answer for one key. This grant replaces the holder's previous
// grant of the key.
struct RateGrant {
  std::string key;
  // Increases with each grant, also when the leader changes. The number 0 marks
  // tokens that a pool grants; they do not change the lease.
  std::uint64_t number = 0;
  // Tokens a second that the holder's reserve gains while the lease lasts.
  double rate = 0;
  // Maximum number of tokens that the holder may have in reserve.
  double reserved_tokens = 0;
  // Duration of the lease, counted from the time of the holder's report.
  Duration lease{};
  // Tokens for the queued requests; the rest goes into the reserve.
  std::uint32_t tokens = 0;
  // Above zero if some queued requests get no token: time until the fleet has
  // the next token of the limit.
  Duration wait{};
};

}  // namespace juniperway::quota
