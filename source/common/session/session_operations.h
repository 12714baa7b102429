// What a daemon asks of control over its session: claims and outcomes of
// requests, reports on back ends, and to leave. Makes the operations; the queue
// holds them until the session has carried them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "common/protocol/control_generated.h"
#include "common/session/control_session.h"
#include "common/session/crash_report.h"
#include "common/session/operation_queue.h"

namespace juniperway::session {

class SessionOperations {
 public:
  // @param incarnation of the daemon; with its id it names the claimant.
  // @param on_queued something waits in the queue, or may be offered.
  SessionOperations(std::string daemon_id, std::uint64_t incarnation,
                    std::function<void()> on_queued);
  SessionOperations(const SessionOperations&) = delete;
  SessionOperations& operator=(const SessionOperations&) = delete;

  // See ControlSession.
  void Claim(const ClaimKey& key, WallTime expiry, Duration timeout,
             ControlSession::ClaimCallback callback);
  void RecordOutcome(const ClaimKey& key, ExecutionState outcome);
  void Leave(Duration timeout, std::function<void()> done);

  // Replaces an earlier report on the back end that was not offered yet.
  void ReportBackend(const std::string& backend, const BackendReport& report);
  // See ControlSessionClient.
  void ReportCrash(const CrashReport& report);
  // Queues the reports there are as one operation. One is under way at a time,
  // so that an older report cannot overtake a newer one.
  void OfferReports();

  OperationQueue& queue() { return queue_; }

 private:
  void Enqueue(protocol::OperationItemT operation, Duration timeout,
               OperationQueue::Callback callback);
  std::string Claimant() const;

  std::string daemon_id_;
  std::uint64_t incarnation_;
  std::function<void()> on_queued_;
  OperationQueue queue_;
  // By back end.
  std::map<std::string, protocol::BackendReportRecordT> reports_;
  bool report_under_way_ = false;
  std::uint64_t last_attempt_ = 0;
};

}  // namespace juniperway::session
