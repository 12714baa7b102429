#include "common/session/session_operations.h"

#include <memory>
#include <utility>

#include "common/session/claim_codec.h"
#include "common/session/control_frames.h"
#include "common/session/events.h"
#include "common/session/fleet_codec.h"

namespace juniperway::session {
namespace {

// How long reports and outcomes are offered to control before they are dropped
// (outcomes) or offered anew (reports).
constexpr Duration kReportTimeout = seconds(10);
constexpr Duration kOutcomeTimeout = seconds(60);
// How long control may be out of reach before a report on a crash is given up:
// the router itself remembers it no longer either.
constexpr Duration kCrashReportTimeout = seconds(60);
constexpr std::size_t kMaximumQueuedOperations = 100000;

}  // namespace

SessionOperations::SessionOperations(std::string daemon_id,
                                     std::uint64_t incarnation,
                                     std::function<void()> on_queued)
    : daemon_id_(std::move(daemon_id)),
      incarnation_(incarnation),
      on_queued_(std::move(on_queued)) {}

void SessionOperations::Claim(const ClaimKey& key, WallTime expiry,
                              Duration timeout,
                              ControlSession::ClaimCallback callback) {
  protocol::ClaimRequestT claim;
  claim.service = key.service;
  claim.request_id = key.request_id;
  claim.expiry_us = expiry.time_since_epoch().count();
  claim.claimant = Claimant();
  claim.attempt = ++last_attempt_;
  Enqueue(MakeOperation(std::move(claim)), timeout,
          [callback = std::move(callback)](
              const Result<protocol::OperationResultT>& result) {
            callback(DecodeClaim(result));
          });
}

void SessionOperations::RecordOutcome(const ClaimKey& key,
                                      ExecutionState outcome) {
  if (queue_.size() >= kMaximumQueuedOperations) {
    return;
  }
  protocol::RecordOutcomeT record;
  record.service = key.service;
  record.request_id = key.request_id;
  record.claimant = Claimant();
  record.outcome = static_cast<std::uint8_t>(outcome);
  Enqueue(MakeOperation(std::move(record)), kOutcomeTimeout,
          [](const Result<protocol::OperationResultT>&) {});
}

void SessionOperations::Leave(Duration timeout, std::function<void()> done) {
  protocol::LeaveMemberT leave;
  leave.daemon_id = daemon_id_;
  leave.incarnation = incarnation_;
  Enqueue(MakeOperation(std::move(leave)), timeout,
          [done = std::move(done)](const Result<protocol::OperationResultT>&) {
            done();
          });
}

void SessionOperations::ReportBackend(const std::string& backend,
                                      const BackendReport& report) {
  reports_[backend] = EncodeReport(backend, report);
  on_queued_();
}

void SessionOperations::ReportCrash(const CrashReport& report) {
  protocol::ReportCrashT operation;
  operation.fingerprint = report.request.value;
  operation.ended_backends = report.ended_backends;
  operation.survived = report.survived;
  Enqueue(MakeOperation(std::move(operation)), kCrashReportTimeout,
          [report](const Result<protocol::OperationResultT>& result) {
            if (!result) {
              logging::LogEvent(kCrashReportLost,
                                {{"fingerprint", ToText(report.request)},
                                 {"reason", result.error().message}});
            }
          });
}

void SessionOperations::OfferReports() {
  if (report_under_way_ || reports_.empty()) {
    return;
  }
  report_under_way_ = true;
  protocol::ReportBackendsT operation;
  for (const auto& [backend, report] : reports_) {
    operation.reports.push_back(
        std::make_unique<protocol::BackendReportRecordT>(report));
  }
  Enqueue(MakeOperation(std::move(operation)), kReportTimeout,
          [this, sent = std::exchange(reports_, {})](
              const Result<protocol::OperationResultT>& result) mutable {
            report_under_way_ = false;
            if (!result) {
              reports_.merge(sent);  // newer ones stay
              on_queued_();
            }
          });
}

void SessionOperations::Enqueue(protocol::OperationItemT operation,
                                Duration timeout,
                                OperationQueue::Callback callback) {
  queue_.Add(std::move(operation), ReadMonotonicClock() + timeout,
             std::move(callback));
  on_queued_();
}

std::string SessionOperations::Claimant() const {
  return daemon_id_ + "/" + std::to_string(incarnation_);
}

}  // namespace juniperway::session
