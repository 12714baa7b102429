// Real juniperwayd processes that forward HTTP requests: control machines that
// form their group from seeds, routers, and in this process the stand-ins of
// what lies around them: back ends and the discovery list.
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
#include "support/temporary_folder.h"

namespace juniperway::test {

// How a back end answers.
enum class Answering {
  kWell,
  kSheds,      // 503, says that it did not run the request
  kFails,      // 500, signed
  kForeignId,  // as for another request
  kUnnamed,    // well, but without the request's id
  kHolds,      // not until it answers well again
};

// What the resource API tells of a roll-out.
struct RolloutStatus {
  // Empty while no leader answers.
  std::string state;
  std::string reason;
  bool in_force = false;
  std::uint32_t share_permille = 0;
};

class StandInBackend {
 public:
  StandInBackend(asio::io_context& context, std::string id, std::string service,
                 std::string version);

  const std::string& id() const { return id_; }
  const std::string& service() const { return service_; }
  const std::string& version() const { return version_; }
  std::string address() const;
  void SetAnswering(Answering answering);
  // From now on it ends while it runs a request whose target begins so: its
  // connections are lost and nothing listens at its address any more.
  void EndOn(const std::string& target_prefix);
  bool ended() const { return ended_; }
  // From now on it fails requests whose target begins so.
  void FailOn(const std::string& target_prefix);
  bool draining = false;
  // Requests that it ran or was asked to run, by target.
  std::vector<std::string> Targets() const;
  // The header fields of the latest of them, as they came.
  std::vector<std::pair<std::string, std::string>> LatestFields() const;

 private:
  void Handle(const net::HttpRequest& request,
              const std::shared_ptr<net::HttpResponder>& responder);
  void Answer(const net::HttpRequest& request, net::HttpResponder& responder);
  bool IsFatal(const std::string& target) const;
  bool IsFailing(const std::string& target) const;
  void End();

  asio::io_context& context_;
  std::string id_;
  std::string service_;
  std::string version_;
  // The handler runs on the stand-ins' thread, the test on its own.
  mutable std::mutex mutex_;
  Answering answering_ = Answering::kWell;
  std::vector<std::string> targets_;
  std::vector<std::pair<std::string, std::string>> latest_fields_;
  std::vector<std::pair<net::HttpRequest, std::shared_ptr<net::HttpResponder>>>
      held_;
  // Empty: nothing ends it.
  std::string fatal_prefix_;
  // Empty: it fails as `answering_` says.
  std::string failing_prefix_;
  std::atomic<bool> ended_ = false;
  asio::steady_timer end_timer_;
  net::HttpServer server_;
};

class RouteFleet {
 public:
  // @param machines of the control group.
  explicit RouteFleet(int machines, int routers = 1);
  ~RouteFleet();

  StandInBackend& AddBackend(const std::string& id, const std::string& service,
                             const std::string& version = "v1");
  // Called after a back end's `draining` was changed.
  void PublishList();
  // Starts each back end that has ended again, under a new id.
  void RestartEnded();
  const std::vector<std::unique_ptr<StandInBackend>>& backends() const {
    return backends_;
  }

  // Writes a table until it is acknowledged. @return the status of a refusal.
  int PutTable(const std::string& table);
  std::string GetTable();
  // Sends an order to one control machine after the other until it is answered
  // with 200 or 400. @return the status.
  int CallControl(const std::string& method, const std::string& path,
                  const std::string& body = "");
  // The service's roll-out, as the leader tells it.
  RolloutStatus GetRollout(const std::string& service);
  // Waits until its last change is in force at every router with a lease.
  bool AwaitRolloutInForce(const std::string& service);
  // Waits until the router answers this target with this status.
  bool AwaitStatus(const std::string& target, int status);

  // @param router number of the one that is asked.
  net::HttpClientResponse Request(const std::string& target,
                                  const std::string& id = "request-1",
                                  int router = 0);
  // With these header fields besides.
  net::HttpClientResponse RequestWith(
      const std::vector<std::pair<std::string, std::string>>& fields,
      const std::string& target, int router = 0);
  // The same, by a client of its own at another address of this machine.
  net::HttpClientResponse RequestFrom(const std::string& client_address,
                                      const std::string& target,
                                      const std::string& id, int router);

  // Kills a control machine, empties its disk and starts it again.
  void WipeControl(int number);
  // Kills every control machine and starts them again with their disks.
  void KillControls();
  // The machine that leads; waits until one does.
  int LeaderNumber();
  // Waits until the machine that was wiped votes under another number, its old
  // one is gone, and one more machine may be lost. In the first second after a
  // loss the group still takes itself for whole: that alone is no sign.
  bool AwaitRepaired();

  // A metric without labels.
  double RouterMetric(int router, const std::string& name);

  // Waits until every router refuses some request under which back ends ended.
  bool AwaitQuarantine();

  // Logs of the routers and of every control machine.
  std::vector<std::string> LogFiles() const;

  lab::ChildProcess& router() { return routers_.front().process; }
  int routers() const { return static_cast<int>(routers_.size()); }
  lab::ChildProcess& control(int number) { return *controls_.at(number); }
  int machines() const { return static_cast<int>(controls_.size()); }

 private:
  std::string AddressOf(int number) const;
  std::filesystem::path FolderOf(int number) const;
  std::string LogOf(int number) const;
  std::string RouterLog(int number) const;
  std::string Seeds() const;
  // What a control machine answers; no object while no leader does.
  nlohmann::json Read(const std::string& path);
  // What the group says of itself; no object while no leader answers.
  nlohmann::json Status();
  // The number of the voter at this machine's address; 0: none or not known.
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
  std::string list_;
  std::unique_ptr<net::HttpServer> list_server_;
  std::vector<std::unique_ptr<StandInBackend>> backends_;
  // Those that others have replaced.
  std::vector<std::unique_ptr<StandInBackend>> ended_;
  std::thread thread_;
  lab::BlockingHttp http_;
  std::string network_;
  std::uint16_t http_port_ = 0;
  std::uint16_t peer_port_ = 0;
  // The machine that was wiped last, and its number before.
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
