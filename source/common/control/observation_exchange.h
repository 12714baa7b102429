// Passes on what routers see of back ends, between the daemons of this machine
// and the other control machines: the shell round
// observation::ObservationRelay.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "common/observation/observation_relay.h"

namespace juniperway::control {

class ObservationExchange {
 public:
  using Send =
      std::function<void(const observation::BackendObservations& observations)>;
  struct Ports {
    // To each of the other control machines.
    Send to_machines;
    // To each router with a session here.
    Send to_daemons;
  };

  ObservationExchange(asio::io_context& context, Ports ports);
  ~ObservationExchange();
  ObservationExchange(const ObservationExchange&) = delete;
  ObservationExchange& operator=(const ObservationExchange&) = delete;

  // From a daemon with a session here.
  void OnReport(const observation::BackendObservations& observations);
  // From another control machine.
  void OnDigest(const observation::BackendObservations& observations);
  void Stop();

 private:
  void ScheduleRelay();
  void Relay();

  Ports ports_;
  observation::ObservationRelay relay_;
  asio::steady_timer timer_;
  bool scheduled_ = false;
  bool stopped_ = false;
  // A timer that has fired before this object goes finds it gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace juniperway::control
