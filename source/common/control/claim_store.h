// Stores the claims of requests that must run at most once: which daemon
// claimed a request id first, until when the store keeps the claim, and the
// outcome of the request. Part of the replicated state; ControlState owns it.
// Times are wall times of the state, which never decrease.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/base/execution_state.h"
#include "common/base/time.h"
#include "common/protocol/command_generated.h"
#include "common/session/control_session.h"

namespace juniperway::control {

// Claims by service and request id.
class ClaimStore {
 public:
  // Grants a claim or returns the reason for refusing it. A resend of the same
  // attempt is granted again as long as the claim has not expired.
  // @param now the wall time of the state. A claim whose expiry is not after
  //   `now` is refused, so that an id whose claim has expired is not granted
  //   again.
  session::ClaimReply Claim(const protocol::ClaimRequestT& request,
                            WallTime now);

  // Records the outcome of a request. Only the first outcome that the claimant
  // reports counts.
  void RecordOutcome(const protocol::RecordOutcomeT& record);

  // Drops every claim whose expiry is not after `now`.
  void Expire(WallTime now);

  std::size_t size() const { return claims_.size(); }

  // Returns all claims as records of a snapshot.
  std::vector<protocol::ClaimRecordT> Encode() const;
  // Restores a claim from a snapshot.
  void Insert(const protocol::ClaimRecordT& record);

 private:
  struct Entry {
    WallTime expiry;
    std::string claimant;
    std::uint64_t attempt = 0;
    std::optional<ExecutionState> outcome;
  };
  using Claims = std::map<session::ClaimKey, Entry>;

  void Schedule(Claims::const_iterator claim);

  Claims claims_;
  // Keys of claims by expiry. An entry is stale when the claim was extended
  // after the entry was added.
  std::multimap<WallTime, session::ClaimKey> expiries_;
};

}  // namespace juniperway::control
