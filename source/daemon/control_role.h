// The control role: a control machine on its own event-loop thread.
#pragma once

#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <vector>

#include "daemon/role.h"
#include "daemon/settings.h"

namespace juniperway::daemon {

class ControlRole {
 public:
  // Opens the store and the listeners and starts to run. `settings.control` is
  // set. Throws std::exception on set-up faults (address in use, data folder
  // damaged or of another node).
  ControlRole(const Settings& settings,
              std::shared_ptr<prometheus::Registry> registry);
  ~ControlRole();
  ControlRole(const ControlRole&) = delete;
  ControlRole& operator=(const ControlRole&) = delete;

  std::vector<Listener> listeners() const;

  // Takes in what may change while it runs: control machines to ask for
  // membership. From any thread.
  void Reload(const Settings& settings);

  // Planned stop: hands leadership over. From any thread. `done` runs once, on
  // the role's thread, at the latest after the settings' stop timeout.
  void Stop(std::function<void()> done);

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace juniperway::daemon
