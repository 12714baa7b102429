// Turns what finished runs show of requests that end back ends into what the
// router knows (CrashGuard) and what it reports to control.
//
// A lost connection alone does not say that the back end has ended: it may have
// closed the connection only. The reporter therefore looks whether anybody
// still listens there, for runs that no back end has answered. Runs on the
// io_context's thread.
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

class CrashReporter {
 public:
  // Checks under way; more lost connections at once come from the network or
  // from overload, and are not looked into. About twice the shards of a query
  // at the target size (520).
  static constexpr std::size_t kMaximumChecks = 1024;

  // Reports to control; more are not sent. A request that ends back ends needs
  // one for each of its tries.
  static constexpr std::size_t kMaximumReportsPerSecond = 20;

  using Report = std::function<void(const session::CrashReport&)>;

  CrashReporter(asio::io_context& context, CrashGuard& guard, Report report);
  ~CrashReporter();
  CrashReporter(const CrashReporter&) = delete;
  CrashReporter& operator=(const CrashReporter&) = delete;

  // A run of the request has ended.
  void OnRunEnded(RequestFingerprint request, const CrashEvidence& evidence);

 private:
  struct Inquiry;

  void OnInquiryEnded(const Inquiry& inquiry);
  void SendReport(const session::CrashReport& report);

  asio::io_context& context_;
  CrashGuard& guard_;
  Report report_;
  std::size_t checks_ = 0;
  // Reports since the begin of a second.
  MonotonicTime second_began_ = MonotonicTime::min();
  std::size_t reports_ = 0;
  // Callbacks that outlive this object find it gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace juniperway::forwarding
