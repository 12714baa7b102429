// Claims of requests that must run at most once: who claimed an id first, until
// when the id is remembered, and how the request ended. Part of the replicated
// state; time is the state's wall time, which never goes back.
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

class ClaimStore {
 public:
  // Records a claim, or says why not. A resend of the same attempt gets its
  // first outcome as long as the id has not expired.
  // @param now the state's wall time; ids whose expiry is not after it are
  //   refused, so that an id that was forgotten is never granted again.
  session::ClaimReply Claim(const protocol::ClaimRequestT& request,
                            WallTime now);

  // Records how a request ended; only its claimant's first word counts.
  void RecordOutcome(const protocol::RecordOutcomeT& record);

  // Forgets every id whose expiry is not after `now`.
  void Expire(WallTime now);

  std::size_t size() const { return claims_.size(); }

  std::vector<protocol::ClaimRecordT> Encode() const;
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
  // Ids by expiry. An entry whose claim was extended since is stale.
  std::multimap<WallTime, session::ClaimKey> expiries_;
};

}  // namespace juniperway::control
