// Relays the routers' observations of backends between the routers that have a
// session with this control node and the other control nodes. This class adds
// timers and network I/O to observation::ObservationRelay, which decides what
// to relay.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "common/observation/observation_relay.h"

namespace juniperway::control {

// Owned by ControlNode. Runs on the thread of its io_context.
class ObservationExchange {
 public:
  using Send =
      std::function<void(const observation::BackendObservations& observations)>;
  struct Ports {
    // Sends the observations to every other control node.
    Send send_to_control_nodes;
    // Sends the observations to every router with a session on this node.
    Send send_to_routers;
  };

  ObservationExchange(asio::io_context& context, Ports ports);
  ~ObservationExchange();
  ObservationExchange(const ObservationExchange&) = delete;
  ObservationExchange& operator=(const ObservationExchange&) = delete;

  // Handles the report of a daemon with a session on this node.
  void OnReport(const observation::BackendObservations& observations);
  // Handles the digest of another control node.
  void OnDigest(const observation::BackendObservations& observations);
  // Stops relaying observations.
  void Stop();

 private:
  void ScheduleRelay();
  void Relay();

  Ports ports_;
  observation::ObservationRelay relay_;
  asio::steady_timer timer_;
  bool relay_scheduled_ = false;
  bool stopped_ = false;
  // False once this object is destroyed, for timer callbacks that run later.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace juniperway::control
