// Reads the platform's discovery list: the back ends that HTTP forwarding may
// use. Only the leader reads it, so that the whole fleet makes the calls of one
// reader. The list comes in pages and lags.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "common/base/error.h"
#include "common/base/time.h"
#include "common/net/http_client.h"
#include "common/session/fleet_view.h"

namespace juniperway::control {

// Back ends by id.
using DiscoveryList = std::map<std::string, session::DiscoveredBackend>;

struct DiscoveryPage {
  DiscoveryList backends;
  // Names the page that follows; empty: this is the last.
  std::string next_page;
};

// Parses {"backends": [{"id", "service", "address", "zone", "slots", "state":
// "live" | "leaving", "warmup_left_ms"}], "next_page": "…" | null}. A back end
// with time left to warm up is cold.
// @return kInvalidArgument with the field that is wrong.
Result<DiscoveryPage> ParseDiscoveryPage(std::string_view text);

class DiscoveryPoller {
 public:
  struct Options {
    std::string url;  // "http://10.0.0.9:9000/v1/backends"
    // Between the starts of two readings of the whole list.
    Duration interval = seconds(1);
    // Calls a second that the platform takes; a reading of many pages is
    // stretched to stay under half of it.
    double calls_per_second = 50;
  };
  struct Ports {
    // Only then the list is read.
    std::function<bool()> is_leading;
    std::function<void(const DiscoveryList&)> on_list;
  };

  DiscoveryPoller(asio::io_context& context, Options options, Ports ports);
  ~DiscoveryPoller();
  DiscoveryPoller(const DiscoveryPoller&) = delete;
  DiscoveryPoller& operator=(const DiscoveryPoller&) = delete;

  void Start();

 private:
  void Begin();
  void Read(const std::string& page);
  void OnAnswer(const net::HttpClientResponse& response);
  void Fail(const std::string& reason);
  void ScheduleNext(Duration delay);

  Options options_;
  Ports ports_;
  net::HttpClient client_;
  asio::steady_timer timer_;
  // The pages of the reading under way.
  DiscoveryList collected_;
  std::size_t pages_ = 0;
  MonotonicTime began_;
  // The last reading failed: the failure was logged.
  bool failing_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace juniperway::control
