#include "common/forwarding/observation_reporter.h"

#include <utility>

namespace juniperway::forwarding {
namespace {

// Delay from the first observation to the report that contains it. Together
// with the interval at which control nodes relay observations
// (observation/observation_relay.h), all routers have an observation within
// 0.35 s.
constexpr Duration kReportDelay = milliseconds(100);

}  // namespace

ObservationReporter::ObservationReporter(asio::io_context& context,
                                         observation::ObservationLog& log)
    : log_(log), timer_(context) {}

void ObservationReporter::OnAttemptsEnded() {
  if (!log_.has_pending() || !report_ || std::exchange(scheduled_, true)) {
    return;
  }
  timer_.expires_after(kReportDelay);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Send();
    }
  });
}

void ObservationReporter::Send() {
  scheduled_ = false;
  report_(log_.Take(observation::kMaximumDigestEntries, ReadMonotonicClock()));
  OnAttemptsEnded();
}

}  // namespace juniperway::forwarding
