// A daemon's real session with the control machines: connects to one of them,
// keeps the lease, takes in updates and carries claims and reports. The
// decisions (timing, which machine next, which revision to take) lie in
// session_state.h; this is the I/O shell.
#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/observation/backend_observation.h"
#include "common/quota/rate_messages.h"
#include "common/rollout/answer_counts.h"
#include "common/session/control_session.h"
#include "common/session/crash_report.h"
#include "common/session/session_state.h"

namespace juniperway::session {

struct SessionOptions {
  // Identity of the fleet, must match the control machines'.
  std::string cluster;
  // Unique in the fleet (the settings' `name`).
  std::string daemon_id;
  std::string zone;
  std::string region;
  // What other daemons dial, "ip:port" (gateway.peer_advertise).
  std::string peer_address;
  // The daemon has the gateway role: it owns back ends and is counted in
  // ZoneReleasedRevision.
  bool gateway = true;
  // The daemon has the router role.
  bool router = false;
  // Control machines' peer endpoints, "ip:port" (settings' `control`).
  std::vector<std::string> control_endpoints;
  // Holds the file with the last confirmed revision and the incarnation;
  // locked against a second process. Empty: nothing is kept (tests, benches).
  std::filesystem::path data_folder;
  SessionTiming timing;
  // Seed of jitter and of the order of control machines; 0: random device.
  std::uint64_t seed = 0;
};

class ControlSessionClient : public ControlSession {
 public:
  // Throws std::exception on set-up faults: an endpoint that does not parse,
  // a data folder that cannot be used or is locked by another process, a
  // damaged state file.
  ControlSessionClient(asio::io_context& context,
                       const SessionOptions& options);
  // Closes without a word; the lease runs out on its own.
  ~ControlSessionClient() override;
  ControlSessionClient(const ControlSessionClient&) = delete;
  ControlSessionClient& operator=(const ControlSessionClient&) = delete;

  // For listeners whose port the kernel chose: replaces the options'
  // peer_address. Before Start.
  void SetPeerAddress(const std::string& address);

  // Control machines to try besides those known; the fleet tells of others on
  // its own.
  void AddControlEndpoints(const std::vector<std::string>& addresses);

  // Changes with each start of the process.
  std::uint64_t incarnation() const;

  // Starts to connect. Set the listeners before.
  void Start();

  // What the daemon says of leased rates, and what control answers.
  struct RatePorts {
    // For each heartbeat, at the time it is sent.
    std::function<quota::RateReport(MonotonicTime now)> make_report;
    // @param term of the leader.
    // @param asked_at when the report that was answered was sent.
    std::function<void(const std::vector<quota::RateGrant>& grants,
                       std::uint64_t term, MonotonicTime asked_at)>
        on_grants;
  };
  // Before Start.
  void SetRatePorts(RatePorts ports);

  // What the daemon says of canaries.
  struct AnswerReportPorts {
    // For each heartbeat.
    std::function<std::vector<rollout::AnswerReport>()> make_report;
    // Another leader hears the reports from now on: it knows nothing yet.
    std::function<void()> on_new_leader;
    // The leader renews the shares of these roll-outs.
    // @param asked_at when the heartbeat that it answers was sent.
    std::function<void(const std::vector<rollout::RolloutNumber>& rollouts,
                       MonotonicTime asked_at)>
        on_renewed;
  };
  // Before Start.
  void SetAnswerReportPorts(AnswerReportPorts ports);
  // Sends a heartbeat in the next turn of the loop.
  void SendReportSoon();

  // What other daemons see of back ends. Before Start.
  using ObservationListener =
      std::function<void(const observation::BackendObservations&)>;
  void SetObservationListener(ObservationListener listener);
  // What this one sees. Sent once, and lost without a session.
  void SendObservations(const observation::BackendObservations& observations);

  // Tells control of a request under which back ends ended. Sent again until it
  // is replicated, for a minute at most.
  void ReportCrash(const CrashReport& report);

  // The last word of a planned stop, after Leave() and after the last query was
  // answered: gives the lease back so that nobody waits for it to run out.
  // `done` runs once it was sent or after `timeout`.
  void Goodbye(Duration timeout, std::function<void()> done);

  // ControlSession
  FleetViewPointer View() const override;
  void SetViewListener(ViewListener listener) override;
  bool HasLease(MonotonicTime now) const override;
  resources::Revision InForceRevision() const override;
  resources::Revision ZoneReleasedRevision() const override;
  void SetProgressListener(std::function<void()> listener) override;
  void ReportReleased(resources::Revision revision) override;
  void ReportBackend(const std::string& backend,
                     const BackendReport& report) override;
  void Claim(const ClaimKey& key, WallTime expiry, Duration timeout,
             ClaimCallback callback) override;
  void RecordOutcome(const ClaimKey& key, ExecutionState outcome) override;
  void Leave(Duration timeout, std::function<void()> done) override;

  // Peer endpoint of the control machine that the session is with; empty: none.
  std::string ControlAddress() const;

  // Totals over all connections since the start, for docs/CAPACITY.md.
  struct Counters {
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t connects = 0;
    std::uint64_t updates = 0;
    std::uint64_t full_updates = 0;
  };
  Counters GetCounters() const;

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace juniperway::session
