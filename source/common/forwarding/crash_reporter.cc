#include "common/forwarding/crash_reporter.h"

#include <utility>
#include <vector>

#include "common/forwarding/events.h"
#include "common/net/listener_check.h"

namespace juniperway::forwarding {
namespace {

using logging::LogEvent;

// Ten round trips between regions (24 ms). A host without a listener at the
// address refuses the connection at once. An unresponsive host does not answer,
// which proves nothing.
constexpr Duration kCheckTimeout = milliseconds(250);
// Interval over which kMaximumReportsPerSecond is counted.
constexpr Duration kReportInterval = seconds(1);

}  // namespace

// The checks of the backends that were lost while they ran one request.
struct CrashReporter::LossCheck {
  RequestFingerprint request;
  std::size_t unchecked = 0;
  // Incarnations at whose address no process listens any more.
  std::vector<std::string> crashed;
};

CrashReporter::CrashReporter(asio::io_context& context, CrashGuard& guard,
                             Report report)
    : context_(context), guard_(guard), report_(std::move(report)) {}

CrashReporter::~CrashReporter() { *alive_ = false; }

void CrashReporter::OnRunEnded(RequestFingerprint request,
                               const CrashEvidence& evidence) {
  if (evidence.survived) {
    if (guard_.OnSurvived(request)) {
      SendReport({.request = request, .ended_backends = {}, .survived = true});
    }
    return;
  }
  if (evidence.lost.empty() ||
      checks_in_flight_ + evidence.lost.size() > kMaximumChecks) {
    return;
  }
  const auto check = std::make_shared<LossCheck>();
  check->request = request;
  check->unchecked = evidence.lost.size();
  checks_in_flight_ += evidence.lost.size();
  for (const LostBackend& backend : evidence.lost) {
    net::CheckListener(context_, backend.address, kCheckTimeout,
                       [this, alive = alive_, check,
                        id = backend.incarnation](net::ListenerState state) {
                         if (!*alive) {
                           return;
                         }
                         --checks_in_flight_;
                         if (state == net::ListenerState::kGone) {
                           check->crashed.push_back(id);
                         }
                         if (--check->unchecked == 0) {
                           OnLossCheckEnded(*check);
                         }
                       });
  }
}

void CrashReporter::OnLossCheckEnded(const LossCheck& check) {
  if (check.crashed.empty()) {
    return;
  }
  LogEvent(kBackendsCrashed, {{"fingerprint", ToText(check.request)},
                              {"backends", check.crashed.size()},
                              {"first", check.crashed.front()}});
  guard_.OnBackendsCrashed(check.request, check.crashed, ReadMonotonicClock());
  SendReport({.request = check.request,
              .ended_backends = check.crashed,
              .survived = false});
}

void CrashReporter::SendReport(const session::CrashReport& report) {
  const MonotonicTime now = ReadMonotonicClock();
  if (now >= report_interval_start_ + kReportInterval) {
    report_interval_start_ = now;
    reports_in_interval_ = 0;
  }
  if (reports_in_interval_ >= kMaximumReportsPerSecond) {
    LogEvent(kCrashReportLimited, {{"fingerprint", ToText(report.request)}});
    return;
  }
  ++reports_in_interval_;
  report_(report);
}

}  // namespace juniperway::forwarding
