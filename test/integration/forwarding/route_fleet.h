// A fleet of real juniperwayd processes that forward HTTP requests: control
// nodes, which form their group from seeds, and routers. The test process
// itself runs the backends and the discovery list.
#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "common/net/http_server.h"
#include "lab/blocking_http.h"
#include "lab/fleet/child_process.h"
#include "support/scripted_server.h"
#include "support/temporary_folder.h"

namespace juniperway::test {

// How a StandInBackend answers requests.
enum class Answering {
  kSucceeds,   // 200, signed
  kSheds,      // 503, with the header X-Not-Run
  kFails,      // 500, signed
  kForeignId,  // 200, with the id of another request
  kWithoutId,  // 200, without a request id
  kWithholds,  // no answer until the mode changes to kSucceeds
};

// A rollout, as the resource API reports it.
struct RolloutStatus {
  // Empty while no control node returns the rollout.
  std::string state;
  std::string reason;
  bool in_force = false;
  std::uint32_t share_permille = 0;
};

// A backend that runs in the test process. RouteFleet owns it.
class StandInBackend {
 public:
  StandInBackend(asio::io_context& context, std::string id, std::string service,
                 std::string version);

  const std::string& id() const { return id_; }
  const std::string& service() const { return service_; }
  const std::string& version() const { return version_; }
  std::string address() const;
  void SetAnswering(Answering answering);
  // From now on the backend crashes while it runs a request whose target has
  // this prefix: its connections are lost, and no process listens at its
  // address.
  void CrashOn(const std::string& target_prefix);
  bool crashed() const { return crashed_; }
  // From now on the backend fails requests whose target has this prefix.
  void FailOn(const std::string& target_prefix);
  // The discovery list shows the backend as draining; see PublishDiscoveryList.
  bool draining = false;
  // Returns the targets of the requests that arrived for this backend, in
  // order.
  std::vector<std::string> Targets() const;
  // Returns the header fields of the latest request that arrived for this
  // backend, as received.
  std::vector<std::pair<std::string, std::string>> LatestFields() const;

 private:
  void Handle(const net::HttpRequest& request,
              const std::shared_ptr<net::HttpResponder>& responder);
  void Answer(const net::HttpRequest& request, net::HttpResponder& responder);
  bool IsFatal(const std::string& target) const;
  bool IsFailing(const std::string& target) const;
  void Crash();

  asio::io_context& context_;
  std::string id_;
  std::string service_;
  std::string version_;
  // Guards what the fleet's thread, which runs the handler, shares with the
  // test's thread.
  mutable std::mutex mutex_;
  Answering answering_ = Answering::kSucceeds;
  std::vector<std::string> targets_;
  std::vector<std::pair<std::string, std::string>> latest_fields_;
  std::vector<std::pair<net::HttpRequest, std::shared_ptr<net::HttpResponder>>>
      withheld_;
  // Requests whose target has this prefix crash the backend. Empty if none
  // does.
  std::string fatal_prefix_;
  // Requests whose target has this prefix fail whatever `answering_` is. Empty
  // if none does.
  std::string failing_prefix_;
  std::atomic<bool> crashed_ = false;
  asio::steady_timer crash_timer_;
  net::HttpServer server_;
};

// The processes, backends and discovery list of one test, which owns the fleet.
class RouteFleet {
 public:
  // Starts the processes and waits until they are ready.
  // @param control_nodes number of control nodes.
  explicit RouteFleet(int control_nodes, int routers = 1);
  ~RouteFleet();

  // Starts a backend and publishes it in the discovery list.
  StandInBackend& AddBackend(const std::string& id, const std::string& service,
                             const std::string& version = "v1");
  // Starts a backend that writes given bytes as answers, and publishes it in
  // the discovery list. The script runs on the fleet's thread.
  void AddScriptedBackend(const std::string& id, const std::string& service,
                          ScriptedServer::Script script);
  // Updates the discovery list; must be called after a change of
  // StandInBackend::draining.
  void PublishDiscoveryList();
  // Replaces each crashed backend by a running one with a new id.
  void RestartCrashed();
  const std::vector<std::unique_ptr<StandInBackend>>& backends() const {
    return backends_;
  }

  // Sends a table to the control nodes in turn until one accepts or refuses it.
  // @return the status: 200 or 400, or another one if none accepted or refused
  //   the table in time.
  int PutTable(const std::string& table);
  std::string GetTable();
  // Sends a request to the control nodes in turn until one answers 200 or 400.
  // @return the status.
  int CallControl(const std::string& method, const std::string& path,
                  const std::string& body = "");
  // Sends a request to one control node and waits for the answer, for at most
  // `timeout`; then the connection is closed.
  net::HttpClientResponse CallControlNode(int number, const std::string& method,
                                          const std::string& path,
                                          Duration timeout);
  // Returns the service's rollout, from the first control node that answers
  // with it.
  RolloutStatus GetRollout(const std::string& service);
  // Waits until the rollout's latest change is in force at every router with a
  // lease.
  bool AwaitRolloutInForce(const std::string& service);
  // Waits until the first router answers this target with this status.
  bool AwaitStatus(const std::string& target, int status);

  // Sends a request to a router and waits for the answer.
  // @param router number of the router, from 0.
  net::HttpClientResponse Request(const std::string& target,
                                  const std::string& id = "request-1",
                                  int router = 0);
  // Like Request, but with additional header fields.
  net::HttpClientResponse RequestWith(
      const std::vector<std::pair<std::string, std::string>>& fields,
      const std::string& target, int router = 0);
  // Like Request, but from another client at another loopback address.
  net::HttpClientResponse RequestFrom(const std::string& client_address,
                                      const std::string& target,
                                      const std::string& id, int router);

  // Kills a control node, deletes its data folder and starts it again.
  void WipeControl(int number);
  // Kills every control node and starts them again with their data folders.
  void RestartControls();
  // Waits for a leader.
  // @return the number of its control node.
  int LeaderNumber();
  // Waits until the wiped control node is a voter under a new id, the old id is
  // no longer a member, and the group reports itself as repaired. The report
  // alone is not enough, because the group still reports itself as repaired in
  // the first second after a loss.
  bool AwaitRepaired();

  // @return the value of a router's metric without labels; 0 when it is
  //   missing.
  double RouterMetric(int router, const std::string& name);

  // Waits until the quarantine of some request is in force at every router.
  bool AwaitQuarantine();

  // Returns the paths of the logs of all routers and control nodes.
  std::vector<std::string> LogFiles() const;

  lab::ChildProcess& router() { return routers_.front().process; }
  int routers() const { return static_cast<int>(routers_.size()); }
  lab::ChildProcess& control(int number) { return *controls_.at(number); }
  int control_nodes() const { return static_cast<int>(controls_.size()); }

 private:
  std::string AddressOf(int number) const;
  std::filesystem::path FolderOf(int number) const;
  std::string LogOf(int number) const;
  std::string RouterLog(int number) const;
  std::string Seeds() const;
  // Gets JSON from the first control node. Returns a value that is not a JSON
  // object while no leader answers.
  nlohmann::json Read(const std::string& path);
  // Returns the control group's status; not a JSON object while no leader
  // answers.
  nlohmann::json Status();
  // @return the id of the voter at this control node's address; 0 when there is
  //   none or the status is missing.
  std::uint64_t VoterAt(int number, const nlohmann::json& status) const;
  void StartControl(int number, bool bootstrap);
  void StartRouter(int number);
  net::HttpClientRequest MakeRequest(const std::string& target,
                                     const std::string& id, int router) const;
  std::unique_ptr<StandInBackend> MakeBackend(const std::string& id,
                                              const std::string& service,
                                              const std::string& version);

  TemporaryFolder folder_;
  asio::io_context context_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  mutable std::mutex mutex_;
  std::string discovery_list_;
  std::unique_ptr<net::HttpServer> discovery_server_;
  std::vector<std::unique_ptr<StandInBackend>> backends_;
  struct ScriptedBackend {
    std::string id;
    std::string service;
    std::unique_ptr<ScriptedServer> server;
  };
  std::vector<ScriptedBackend> scripted_backends_;
  // Crashed backends that have been replaced.
  std::vector<std::unique_ptr<StandInBackend>> replaced_backends_;
  std::thread thread_;
  lab::BlockingHttp http_;
  std::string network_;
  std::uint16_t http_port_ = 0;
  std::uint16_t peer_port_ = 0;
  // The control node that was wiped last, and the member id that it had before.
  int wiped_ = -1;
  std::uint64_t wiped_id_ = 0;
  std::vector<std::optional<lab::ChildProcess>> controls_;
  struct Router {
    lab::ChildProcess process;
    std::string address;
    std::string metrics;
  };
  std::vector<Router> routers_;
};

}  // namespace juniperway::test
