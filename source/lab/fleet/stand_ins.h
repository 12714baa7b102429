// The processes around the product in one fleet: back-end hosts, the fault
// proxy and the platform's list; driven over their control calls.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/base/error.h"
#include "lab/backend/ledger.h"
#include "lab/blocking_http.h"
#include "lab/fleet/child_process.h"
#include "lab/fleet/layout.h"
#include "lab/promises/history_check.h"

namespace juniperway::lab {

struct StandInOptions {
  // Folder of the programs, and one that the fleet may write to.
  std::string binary_folder;
  std::string work_folder;
  std::uint64_t seed = 1;
  // Index version that the back ends hold at first.
  resources::IndexVersion index_version = 1;
};

// A listener of the proxy.
struct ProxyLink {
  std::string name;
  std::string machine;
  // "ip:port" behind it; empty: as before, or not yet known.
  std::string target;
  // False: connections are refused, as by a machine without the process.
  bool listening = true;
};

class StandIns {
 public:
  static Result<std::unique_ptr<StandIns>> Start(const Layout& layout,
                                                 const StandInOptions& options);

  // Declares machines and their base delays. @param json as the proxy takes it.
  Result<void> SetMachines(const nlohmann::json& json);
  // Makes links or sets their targets.
  Result<void> SetLinks(const std::vector<ProxyLink>& links);
  // Replaces the list of faults.
  Result<void> SetFaults(const nlohmann::json& faults);
  // @param from selector; see the proxy's page.
  Result<void> ResetConnections(const std::string& link,
                                const std::string& from);
  // Connections of a link that its target did not take.
  Result<std::uint64_t> RefusedConnections(const std::string& link);
  // "ip:port" of a link's listener.
  const std::string& LinkAddress(const std::string& link) const;

  // @param change as POST /v1/lab takes it, without "backend".
  Result<void> ChangeBackend(const std::string& backend,
                             const nlohmann::json& change);
  // Its process dies, or starts again with cold caches.
  Result<void> CrashBackend(const BackendPlan& backend);
  Result<void> RestartBackend(const BackendPlan& backend);
  // Name of the link in front of a back end.
  static std::string BackendLink(const std::string& backend);
  // Where a back end itself listens.
  const std::string& BackendAddress(const std::string& backend) const;

  // @param states machine name to "live", "leaving" or "" (removed).
  Result<void> ChangePlatform(const std::map<std::string, std::string>& states);
  Result<void> SetPlatformLag(Duration lag);
  const std::string& platform_address() const { return platform_address_; }

  // Every subquery begun so far.
  Result<std::vector<LedgerEntry>> ReadLedgers() const;
  Result<std::vector<LimitRecord>> ReadLimits();

 private:
  struct Host {
    ChildProcess process;
    std::string control_address;
    std::string ledger_path;
  };

  StandIns() = default;

  Result<void> StartHosts(const Layout& layout, const StandInOptions& options);
  Result<void> StartHost(const std::vector<BackendSettings>& backends,
                         const StandInOptions& options);
  Result<void> StartProxy(const StandInOptions& options);
  Result<void> StartPlatform(const StandInOptions& options);
  Result<nlohmann::json> Post(const std::string& address,
                              const std::string& path,
                              const nlohmann::json& body);

  std::vector<Host> hosts_;
  std::vector<ChildProcess> others_;
  std::string proxy_address_;
  std::string platform_address_;
  std::map<std::string, std::size_t> host_of_backend_;
  std::map<std::string, std::string> backend_addresses_;
  std::map<std::string, std::string> link_addresses_;
  BlockingHttp http_;
};

}  // namespace juniperway::lab
