// The gateway role: front, owner and the session with control, wired together
// on one event-loop thread.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "daemon/role.h"
#include "daemon/settings.h"

namespace juniperway::daemon {

class GatewayRole {
 public:
  // Opens the listeners and starts to run. `settings.gateway` is set. Throws
  // std::exception on set-up faults (address in use, data folder unusable).
  explicit GatewayRole(const Settings& settings);
  // Ends at once; for a planned stop call Stop first and await `done`.
  ~GatewayRole();
  GatewayRole(const GatewayRole&) = delete;
  GatewayRole& operator=(const GatewayRole&) = delete;

  std::vector<Listener> listeners() const;

  // Planned stop: refuses new queries, leaves the fleet, hands back ends over,
  // answers what is in flight and gives the lease back. From any thread.
  // `done` runs once, on the role's thread, at the latest after the settings'
  // stop timeout.
  void Stop(std::function<void()> done);

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace juniperway::daemon
