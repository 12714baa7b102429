// How many connections a router may use at one back end: additive increase,
// multiplicative decrease. A back end takes a fixed number from all callers
// together and resets any more; how many of them other callers hold, or
// routers that have died, cannot be asked. So it starts with one connection,
// takes more as answers come, and fewer after a reset. Pure.
#pragma once

#include <cstddef>

namespace juniperway::forwarding {

class ConnectionAllowance {
 public:
  // @param ceiling this router's share of the back end's connections.
  std::size_t Get(std::size_t ceiling) const;

  // An answer came: there is room for what is open.
  void OnAnswered(std::size_t ceiling);
  // The back end reset a connection that was just opened.
  void OnRefused();

 private:
  double connections_ = 1;
};

}  // namespace juniperway::forwarding
