// Finds out which finished runs crashed backends, records that in the router's
// CrashGuard and reports it to the control group. RouterServer owns the
// reporter, which runs on the io_context's thread.
//
// A lost connection alone does not prove a crash: the backend may only have
// closed the connection. For runs that no backend has answered, the reporter
// therefore checks whether a process still listens at the backend's address.
#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>

#include "common/base/request_fingerprint.h"
#include "common/base/time.h"
#include "common/forwarding/crash_guard.h"
#include "common/forwarding/request_run.h"
#include "common/session/crash_report.h"

namespace juniperway::forwarding {

// Checks lost backends and reports crashes; see the top of this file.
class CrashReporter {
 public:
  // Maximum number of checks in flight; about twice the shards of a query at
  // the target size (520). If more connections are lost at once, the network or
  // overload is the cause, and the reporter does not check them.
  static constexpr std::size_t kMaximumChecks = 1024;

  // Maximum reports to the control group a second; the reporter drops the rest.
  // A request that crashes backends needs one report for each time the client
  // sends it.
  static constexpr std::size_t kMaximumReportsPerSecond = 20;

  using Report = std::function<void(const session::CrashReport&)>;

  CrashReporter(asio::io_context& context, CrashGuard& guard, Report report);
  ~CrashReporter();
  CrashReporter(const CrashReporter&) = delete;
  CrashReporter& operator=(const CrashReporter&) = delete;

  // Processes the end of a run of the request. Call it once for each run.
  void OnRunEnded(RequestFingerprint request, const CrashEvidence& evidence);

 private:
  struct LossCheck;

  void OnLossCheckEnded(const LossCheck& check);
  void SendReport(const session::CrashReport& report);

  asio::io_context& context_;
  CrashGuard& guard_;
  Report report_;
  std::size_t checks_in_flight_ = 0;
  // Start of the current kReportInterval, and the reports sent in it.
  MonotonicTime report_interval_start_ = MonotonicTime::min();
  std::size_t reports_in_interval_ = 0;
  // False once this object is destroyed; callbacks that outlive it hold a copy.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace juniperway::forwarding
