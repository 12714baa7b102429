// Which of its requests one router may send to the canaries of one service.
// Pure: randomness is an argument.
//
// Each request is drawn with the share that the order gives. Over all routers
// that is share x all requests on average, with a standard deviation of at most
// the square root of that, whatever machine is cut off, frozen or restarted:
// nothing has to be leased, and nothing depends on how many routers share the
// requests. A router that counted up to a whole request instead would send its
// first canary after 1 / share requests; where a thousand routers see one in
// 17 s, none would be sent in a roll-out of minutes.
#pragma once

#include <cstdint>

#include "common/rollout/rollout.h"

namespace juniperway::rollout {

class CanaryAllowance {
 public:
  void SetShare(std::uint32_t permille) { share_ = permille; }
  std::uint32_t share() const { return share_; }

  // A request to the service is about to be sent for the first time.
  // @param random evenly distributed.
  void OnRequest(std::uint64_t random) {
    drawn_ = random % kWholePermille < share_;
  }
  // The request was drawn, and has not been sent yet.
  bool MaySend() const { return drawn_; }
  void OnSent() { drawn_ = false; }

 private:
  std::uint32_t share_ = 0;
  bool drawn_ = false;
};

}  // namespace juniperway::rollout
