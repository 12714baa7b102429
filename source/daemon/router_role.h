// The router role: HTTP forwarding and its session with control, on one
// event-loop thread.
#pragma once

#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <vector>

#include "daemon/role.h"
#include "daemon/settings.h"

namespace juniperway::daemon {

class RouterRole {
 public:
  // Opens the listeners and starts to run. `settings.router` is set. Throws
  // std::exception on set-up faults (address in use).
  // @param registry outlives the role.
  RouterRole(const Settings& settings, prometheus::Registry& registry);
  // Ends at once; for a planned stop call Stop first and await `done`.
  ~RouterRole();
  RouterRole(const RouterRole&) = delete;
  RouterRole& operator=(const RouterRole&) = delete;

  std::vector<Listener> listeners() const;

  // Takes in what may change while it runs: control machines to try. From any
  // thread.
  void Reload(const Settings& settings);

  // Planned stop: not ready, then drained. From any thread. `done` runs once,
  // on the role's thread, at the latest after the settings' stop timeout.
  void Stop(std::function<void()> done);

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace juniperway::daemon
