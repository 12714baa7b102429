// ObservationReporter sends the entries of an observation::ObservationLog to
// the control nodes. The reporter collects the entries of a short delay into
// one report, because the parts of a scatter answer end within 0.1 s of each
// other. The router owns it.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>

#include "common/observation/observation_log.h"

namespace juniperway::forwarding {

// Schedules and sends reports of one observation log.
class ObservationReporter {
 public:
  using Report =
      std::function<void(const observation::BackendObservations& observations)>;

  // @param log outlives the reporter.
  ObservationReporter(asio::io_context& context,
                      observation::ObservationLog& log);

  // Sets the function that sends a report. Call it before attempts end; without
  // it nothing is reported.
  void SetReport(Report report) { report_ = std::move(report); }
  // Schedules a report if the log has new observations. Call it after attempts
  // have ended.
  void OnAttemptsEnded();

 private:
  void Send();

  observation::ObservationLog& log_;
  Report report_;
  asio::steady_timer timer_;
  bool scheduled_ = false;
};

}  // namespace juniperway::forwarding
