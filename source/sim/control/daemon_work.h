// What a simulated daemon does with its views and its back ends. All calls are
// made on the daemon's process.
#pragma once

#include <string>

#include "common/session/fleet_view.h"

namespace juniperway::sim {

class DaemonWork {
 public:
  virtual ~DaemonWork() = default;

  virtual void OnStart() = 0;
  // The process ended: its connections broke.
  virtual void OnEnd() = 0;
  virtual void OnView(const session::FleetViewPointer& view) = 0;
  // Which back ends may be used may have changed.
  virtual void OnAccess() = 0;
  // Everything is to be cut off.
  virtual void OnLeaseLost() = 0;
  // Nothing of this daemon is left at the back end.
  virtual bool IsIdle(const std::string& backend) const = 0;
};

}  // namespace juniperway::sim
