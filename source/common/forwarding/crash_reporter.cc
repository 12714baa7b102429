#include "common/forwarding/crash_reporter.h"

#include <utility>
#include <vector>

#include "common/forwarding/events.h"
#include "common/net/listener_check.h"

namespace juniperway::forwarding {
namespace {

using logging::LogEvent;

// Ten round trips between regions (24 ms): an address without anybody refuses
// at once, and one that is silent tells nothing.
constexpr Duration kCheckTimeout = milliseconds(250);
// Over which kMaximumReportsPerSecond is counted.
constexpr Duration kReportInterval = seconds(1);

}  // namespace

// The back ends that were lost under one request, as far as they are checked.
struct CrashReporter::Inquiry {
  RequestFingerprint request;
  std::size_t unchecked = 0;
  std::vector<std::string> ended;
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
      checks_ + evidence.lost.size() > kMaximumChecks) {
    return;
  }
  const auto inquiry = std::make_shared<Inquiry>();
  inquiry->request = request;
  inquiry->unchecked = evidence.lost.size();
  checks_ += evidence.lost.size();
  for (const LostBackend& backend : evidence.lost) {
    net::CheckListener(context_, backend.address, kCheckTimeout,
                       [this, alive = alive_, inquiry,
                        id = backend.incarnation](net::ListenerState state) {
                         if (!*alive) {
                           return;
                         }
                         --checks_;
                         if (state == net::ListenerState::kGone) {
                           inquiry->ended.push_back(id);
                         }
                         if (--inquiry->unchecked == 0) {
                           OnInquiryEnded(*inquiry);
                         }
                       });
  }
}

void CrashReporter::OnInquiryEnded(const Inquiry& inquiry) {
  if (inquiry.ended.empty()) {
    return;
  }
  LogEvent(kBackendsEnded, {{"fingerprint", ToText(inquiry.request)},
                            {"backends", inquiry.ended.size()},
                            {"first", inquiry.ended.front()}});
  guard_.OnBackendsEnded(inquiry.request, inquiry.ended, ReadMonotonicClock());
  SendReport({.request = inquiry.request,
              .ended_backends = inquiry.ended,
              .survived = false});
}

void CrashReporter::SendReport(const session::CrashReport& report) {
  const MonotonicTime now = ReadMonotonicClock();
  if (now >= second_began_ + kReportInterval) {
    second_began_ = now;
    reports_ = 0;
  }
  if (reports_ >= kMaximumReportsPerSecond) {
    LogEvent(kCrashReportLimited, {{"fingerprint", ToText(report.request)}});
    return;
  }
  ++reports_;
  report_(report);
}

}  // namespace juniperway::forwarding
