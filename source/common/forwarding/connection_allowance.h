// ConnectionAllowance bounds the connections that a router uses at one backend
// by additive increase and multiplicative decrease. BackendPool owns one for
// each backend. A backend accepts a fixed number of connections from all
// clients together and resets further ones. A router cannot find out how many
// connections other clients and crashed routers hold. The allowance therefore
// starts with one connection, grows with answers and shrinks after a refused or
// reset connection.
#pragma once

#include <cstddef>

namespace juniperway::forwarding {

// Number of connections that one router may use at one backend.
class ConnectionAllowance {
 public:
  // @param ceiling this router's share of the backend's connections.
  // @return number of connections that may be in use, at least 1.
  std::size_t Get(std::size_t ceiling) const;

  // Records an answer: the backend accepts the connections that are open.
  void OnAnswered(std::size_t ceiling);
  // Records that the backend refused or reset a connection that was just
  // opened.
  void OnRefused();

 private:
  double connections_ = 1;
};

}  // namespace juniperway::forwarding
