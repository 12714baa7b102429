// One simulated daemon. The decisions are the product's: session::SessionState,
// OperationQueue and view codec, and owner::OwnershipTracker with the ownership
// table. This file plays their shell: connection, kept revision, and requests
// to the back ends that the gateway may use.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "common/owner/ownership_tracker.h"
#include "common/protocol/control_generated.h"
#include "common/session/operation_queue.h"
#include "common/session/session_state.h"
#include "sim/control/control_checker.h"
#include "sim/control/control_machine.h"
#include "sim/control/daemon_work.h"
#include "sim/control/options.h"
#include "sim/control/process.h"

namespace juniperway::sim {

class SimDaemon : public Process {
 public:
  SimDaemon(Surroundings& surroundings, const ControlSimOptions& options,
            Network& network, ControlChecker& checker, ProcessNumber number,
            std::vector<ControlMachine*> machines);
  void SetPeers(std::vector<SimDaemon*> daemons);
  // In place of made-up requests. Must outlive the run.
  void SetWork(DaemonWork* work) { work_ = work; }

  void Start();
  void Crash();
  // Announces a planned stop, finishes, gives its lease back and ends.
  void Leave();

  // --- From control machines
  void OnUpdate(const ConnectionPointer& connection,
                const protocol::FleetUpdateT& update);
  void OnHeartbeatReply(const ConnectionPointer& connection,
                        const protocol::HeartbeatReplyT& reply);
  void OnProgress(const ConnectionPointer& connection,
                  resources::Revision in_force, resources::Revision released);
  void OnCallReply(const ConnectionPointer& connection,
                   const protocol::SessionCallReplyT& reply);
  void OnConnectionClosed(const ConnectionPointer& connection);

  // Claims a request for this daemon, as a caller's submission would.
  void Claim(const std::string& request_id) {
    Claim(request_id, [](const Result<protocol::OperationResultT>&) {});
  }
  void Claim(const std::string& request_id,
             session::OperationQueue::Callback callback);
  void RecordOutcome(const std::string& request_id, ExecutionState outcome);
  void ReportBackend(const std::string& backend,
                     const session::BackendReport& report);
  owner::GateAccess AccessTo(const std::string& backend) const {
    return tracker_->AccessTo(backend);
  }
  // Tells the checker that this daemon sends something to the back end.
  void NoteUse(const std::string& backend);
  // Ends of requests at back ends may let them go.
  void LetGoOfIdle();
  // Later, on this start of the process only.
  void RunAfter(Duration delay, std::function<void()> run) {
    After(delay, std::move(run));
  }
  std::uint64_t incarnation() const { return incarnation_; }

  const std::string& id() const { return id_; }
  const std::string& zone() const { return zone_; }
  bool HasLease() const { return running() && state_->HasLease(Now()); }
  resources::Revision taken() const { return state_->taken(); }
  // A request of it still runs at the back end. One of a frozen daemon whose
  // lease is over is not counted: nothing in the daemon could end it.
  bool IsUsing(const std::string& backend) const;
  // Back ends that it may use now.
  std::set<std::string> OpenBackends() const;

 private:
  void Pump();
  void CarryOut(const session::SessionAction& action);
  void Connect(std::size_t endpoint);
  void OnConnected(ControlMachine* machine);
  void SendHello();
  void DropConnection();
  void SendCalls();
  void ArmTimer();
  void KeepStaged();
  void TakeStaged(const session::FleetViewPointer& view);
  void CheckLease();
  void ReportReleased();
  void PollLease();
  void UseBackends();
  void BeginRequest(const std::string& backend);
  void LetGo(const std::string& backend);
  std::string Claimant() const;
  void FinishLeaving();
  const session::FleetViewPointer& newest() const {
    return staged_ ? staged_ : view_;
  }

  const ControlSimOptions& options_;
  Network& network_;
  ControlChecker& checker_;
  std::vector<ControlMachine*> machines_;
  std::vector<SimDaemon*> daemons_;
  DaemonWork* work_ = nullptr;
  std::string id_;
  std::string zone_;

  // Kept over restarts.
  resources::Revision kept_revision_ = 0;
  std::uint64_t incarnation_ = 0;

  // Of this start.
  bool leaving_ = false;
  std::unique_ptr<session::SessionState> state_;
  std::unique_ptr<session::OperationQueue> operations_;
  std::unique_ptr<owner::OwnershipTracker> tracker_;
  session::FleetViewPointer view_;
  session::FleetViewPointer staged_;
  bool keeping_ = false;
  bool leased_ = false;
  std::uint64_t last_attempt_ = 0;
  std::uint64_t connection_number_ = 0;
  ConnectionPointer connection_;
  ControlMachine* connected_to_ = nullptr;
  std::uint64_t timer_number_ = 0;
  std::set<std::string> owned_;
  std::set<std::string> letting_go_;
  // Requests that run at each back end.
  std::map<std::string, int> running_requests_;
  // How often all requests were cut off.
  std::uint64_t cut_offs_ = 0;
};

}  // namespace juniperway::sim
