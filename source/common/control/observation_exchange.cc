#include "common/control/observation_exchange.h"

#include <utility>

namespace juniperway::control {

ObservationExchange::ObservationExchange(asio::io_context& context, Ports ports)
    : ports_(std::move(ports)), timer_(context) {}

ObservationExchange::~ObservationExchange() { *alive_ = false; }

void ObservationExchange::OnReport(
    const observation::BackendObservations& observations) {
  relay_.OnReport(observations);
  ScheduleRelay();
}

void ObservationExchange::OnDigest(
    const observation::BackendObservations& observations) {
  relay_.OnDigest(observations);
  ScheduleRelay();
}

void ObservationExchange::Stop() {
  stopped_ = true;
  timer_.cancel();
}

void ObservationExchange::ScheduleRelay() {
  if (stopped_ || !relay_.has_queued() ||
      std::exchange(relay_scheduled_, true)) {
    return;
  }
  timer_.expires_after(observation::kRelayInterval);
  timer_.async_wait([this, alive = alive_](const asio::error_code& error) {
    if (!error && *alive && !stopped_) {
      Relay();
    }
  });
}

void ObservationExchange::Relay() {
  relay_scheduled_ = false;
  const auto for_control_nodes = relay_.TakeForControlNodes();
  if (!for_control_nodes.empty()) {
    ports_.send_to_control_nodes(for_control_nodes);
  }
  const auto for_daemons = relay_.TakeForDaemons();
  if (!for_daemons.empty()) {
    ports_.send_to_routers(for_daemons);
  }
  ScheduleRelay();
}

}  // namespace juniperway::control
