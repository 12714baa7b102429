// Polls the platform's list of live and leaving machines. The list lags and may
// be wrong, so the control group uses only its "leaving" state. Leases, not
// this list, decide whether a daemon is alive.
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

// The list as one poll returned it: all names, and those that are leaving.
struct PlatformList {
  std::set<std::string> present;
  std::set<std::string> leaving;
};

// Parses {"machines": [{"name": "…", "state": "live" | "leaving"}]}.
// @return kInvalidArgument if any entry is invalid.
Result<PlatformList> ParsePlatformList(std::string_view text);

// Returns the names that are leaving after a poll: those that the list marks as
// leaving, and those of `previously_leaving`, the names that were leaving
// before the poll, that are no longer on the list but still in use.
std::set<std::string> MergeLeavingNames(
    const PlatformList& list, const std::set<std::string>& previously_leaving,
    const std::function<bool(const std::string&)>& in_use);

// Owned by ControlNode. Runs on the thread of its io_context.
class PlatformPoller {
 public:
  using Listener = std::function<void(const PlatformList&)>;

  // @param interval delay between the end of a poll and the next.
  // @param listener receives every valid list.
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
  // Whether the last poll failed; only the first of successive failures is
  // logged.
  bool failing_ = false;
  // False once this object is destroyed, for callbacks that run later.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace juniperway::control
