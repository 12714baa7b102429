// What to do after one try of a call at one control machine. Pure.
#pragma once

#include "common/base/time.h"
#include "common/net/http_client.h"

namespace juniperway::ctl {

enum class NextStep {
  kDone,            // The answer is final.
  kTryAgain,        // At the next machine, under the same change id.
  kOutcomeUnknown,  // It may have run, and running it twice would be wrong.
};

// @param repeatable a second run has no second effect: reads, and changes with
//   a change id.
NextStep DecideNextStep(const net::HttpClientResponse& response,
                        bool repeatable);

// The answer says, or the state of the connection shows, that nothing was run.
bool WasNotRun(const net::HttpClientResponse& response);

// Pause before try number `tries` (from 0) when there are `machines`: none
// while one of them was not tried yet, then growing with each round.
Duration PauseBefore(std::size_t tries, std::size_t machines);

}  // namespace juniperway::ctl
