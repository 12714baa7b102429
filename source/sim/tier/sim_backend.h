// A simulated back end: holds index versions, has slots, sheds now and then.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "common/owner/backend_reply.h"
#include "sim/control/sim_daemon.h"
#include "sim/tier/tier_checker.h"

namespace juniperway::sim {

struct BackendSearch {
  // Names the search: the gateway, and its own number there.
  SimDaemon* gateway = nullptr;
  std::uint64_t number = 0;
  CallerRequest request;
  resources::IndexVersion version = 0;
  KeyRange range;
};

class SimBackend {
 public:
  using Callback = std::function<void(owner::BackendReply)>;

  SimBackend(Surroundings& surroundings, TierChecker& checker, std::string name,
             std::size_t slots)
      : surroundings_(surroundings),
        checker_(checker),
        name_(std::move(name)),
        slots_(slots) {}

  // The callback runs on the gateway's process, unless it ended meanwhile.
  void Search(const BackendSearch& search, const Callback& callback);
  // The search is not needed any more: mostly answered as stopped.
  void Cancel(SimDaemon* gateway, std::uint64_t number);
  // The connection broke: what runs there ends, what is under way is lost.
  void Close(SimDaemon* gateway, std::uint64_t number);
  void CloseAll(SimDaemon* gateway);

  std::set<resources::IndexVersion>& held() { return held_; }

 private:
  using Key = std::pair<SimDaemon*, std::uint64_t>;
  struct Running {
    BackendSearch search;
    Callback callback;
    bool begun = false;
  };

  void Arrive(const Key& key);
  void End(const Key& key, owner::BackendReply reply);
  // Searches of frozen gateways whose lease is over do not count.
  std::size_t CountRunning() const;

  Surroundings& surroundings_;
  TierChecker& checker_;
  std::string name_;
  std::size_t slots_;
  std::set<resources::IndexVersion> held_;
  // Only looked up, never walked in an order that matters.
  std::map<Key, Running> running_;
};

}  // namespace juniperway::sim
