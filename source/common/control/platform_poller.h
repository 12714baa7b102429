// Polls the platform's list of live and leaving machines. The list lags and may
// mislead: only "leaving" is taken from it, and it never decides that a machine
// is dead or alive; leases do.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "common/base/error.h"
#include "common/base/time.h"
#include "common/net/http_client.h"

namespace juniperway::control {

// One reading of the list: which names are on it, and which are leaving.
struct PlatformList {
  std::set<std::string> present;
  std::set<std::string> leaving;
};

// Parses {"machines": [{"name": "…", "state": "live" | "leaving"}]}.
Result<PlatformList> ParsePlatformList(std::string_view text);

// The names to hold as leaving after a reading: those it calls leaving, and
// those that were leaving and have dropped off the list while still in use.
std::set<std::string> MergePlatformLeaving(
    const PlatformList& list, const std::set<std::string>& held,
    const std::function<bool(const std::string&)>& in_use);

class PlatformPoller {
 public:
  using Listener = std::function<void(const PlatformList&)>;

  PlatformPoller(asio::io_context& context, std::string url, Duration interval,
                 Listener listener);
  ~PlatformPoller();
  PlatformPoller(const PlatformPoller&) = delete;
  PlatformPoller& operator=(const PlatformPoller&) = delete;

  void Start();

 private:
  void Poll();
  void OnAnswer(const net::HttpClientResponse& response);
  void ScheduleNext();

  std::string url_;
  Duration interval_;
  Listener listener_;
  net::HttpClient client_;
  asio::steady_timer timer_;
  // The last poll failed: the failure was logged.
  bool failing_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace juniperway::control
