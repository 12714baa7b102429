// Brings what a router sees of back ends to control: the shell round
// observation::ObservationLog. What is seen within a moment goes out together,
// since the parts of a scatter end within 0.1 s.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>

#include "common/observation/observation_log.h"

namespace juniperway::forwarding {

class ObservationReporter {
 public:
  using Report =
      std::function<void(const observation::BackendObservations& observations)>;

  // @param log outlives the reporter.
  ObservationReporter(asio::io_context& context,
                      observation::ObservationLog& log);

  // Before attempts end; without one nothing is reported.
  void SetReport(Report report) { report_ = std::move(report); }
  // Attempts have ended.
  void OnProgress();

 private:
  void Send();

  observation::ObservationLog& log_;
  Report report_;
  asio::steady_timer timer_;
  bool scheduled_ = false;
};

}  // namespace juniperway::forwarding
