// A whole fleet on one machine: control machines, gateways, back ends and the
// platform's list, each link through the fault proxy. Stops only what it
// started. Not for several threads at once.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "common/base/error.h"
#include "lab/caller/load.h"
#include "lab/catalog.h"
#include "lab/fleet/child_process.h"
#include "lab/fleet/control_client.h"
#include "lab/fleet/layout.h"
#include "lab/fleet/settings_file.h"
#include "lab/fleet/stand_ins.h"

namespace juniperway::lab {

struct FleetOptions {
  Deployment deployment;
  StandInOptions stand_ins;
};

class Fleet {
 public:
  // Starts every process and waits until control has a leader. Resources are
  // not yet applied.
  static Result<std::unique_ptr<Fleet>> Start(const FleetOptions& options);

  // Declares services, back ends and the first snapshots, and waits until every
  // gateway is ready and serves them.
  Result<void> Declare();

  // Signals to the daemon "control-1" or "tpe-a-gateway-1".
  Result<void> Kill(const std::string& daemon);
  void Freeze(const std::string& daemon);
  void Thaw(const std::string& daemon);
  // SIGTERM; waits for its end.
  Result<StopRecord> Stop(const std::string& daemon, Duration timeout);
  // Starts a daemon that has ended, with its data folder as it is.
  Result<void> Restart(const std::string& daemon);
  // Empties the data folder of a daemon that has ended.
  Result<void> LoseDisk(const std::string& daemon);
  // Replaces a control machine that has ended and lost its disk: a new node of
  // the same name joins in its place.
  Result<void> ReplaceControl(const std::string& daemon);
  bool IsRunning(const std::string& daemon);
  // The control machine that leads; nothing when none says so.
  std::optional<std::string> LeaderName();

  // GET at a gateway ("/v1/view"); nothing when it gave no JSON.
  std::optional<nlohmann::json> GetFromGateway(const std::string& gateway,
                                               const std::string& path);
  // What every running gateway shows as its revision.
  std::vector<RevisionRecord> ObserveRevisions();
  // Whether each running gateway serves `index_version` of `service`.
  bool AllServe(const std::string& service,
                resources::IndexVersion index_version);

  // What each gateway shows, for messages.
  std::string DescribeViews();

  const Layout& layout() const { return layout_; }
  Catalog& catalog() { return catalog_; }
  StandIns& stand_ins() { return *stand_ins_; }
  ControlClient& control() { return *control_; }
  // As callers reach them, through the proxy.
  std::vector<LoadSettings::Gateway> Gateways() const;
  // "ip:port" of each control machine's resource API.
  const std::vector<std::string>& ControlAddresses() const {
    return control_addresses_;
  }
  std::string BackendResourceAddress(const std::string& backend) const;

 private:
  struct Daemon {
    DaemonSettings settings;
    std::string settings_path;
    std::optional<ChildProcess> process;
  };

  explicit Fleet(const FleetOptions& options);

  Result<void> SetUp();
  Result<void> DeclareMachines();
  Result<void> MakeLinks();
  void PlanDaemons();
  Result<void> StartDaemons();
  // Callers' connections that a gateway did not take.
  Result<std::uint64_t> RefusedCallers(const std::string& daemon);
  // Whether connections to a daemon's listeners are taken.
  Result<void> SetListening(const std::string& daemon, bool listening);
  Result<void> Launch(Daemon& daemon);
  Result<void> AwaitReady(Daemon& daemon);
  Result<void> AwaitLeader();
  std::vector<resources::Resource> InitialResources() const;
  DaemonSettings CommonSettings(const MachinePlan& machine,
                                std::size_t number) const;

  FleetOptions options_;
  Layout layout_;
  Catalog catalog_;
  std::unique_ptr<StandIns> stand_ins_;
  std::map<std::string, Daemon> daemons_;
  std::vector<std::string> control_addresses_;
  std::unique_ptr<ControlClient> control_;
  BlockingHttp http_;
};

}  // namespace juniperway::lab
