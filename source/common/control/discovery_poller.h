// Reads the platform's discovery list: the back ends that HTTP forwarding may
// use. Only the leader reads it, so that the whole fleet makes the calls of one
// reader. The list comes in pages and lags.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "common/base/time.h"
#include "common/control/discovery_page.h"
#include "common/net/http_client.h"

namespace juniperway::control {

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
    // After each reading: how many entries had which fault.
    std::function<void(const EntryFaults&)> on_faults;
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
  // Says which faults the reading found, where that has changed.
  void NoteFaults();
  void ScheduleNext(Duration delay);

  Options options_;
  Ports ports_;
  net::HttpClient client_;
  asio::steady_timer timer_;
  // The pages of the reading under way.
  DiscoveryList collected_;
  EntryFaults faults_;
  // Those that the log has told of.
  EntryFaults noted_faults_;
  std::size_t pages_ = 0;
  MonotonicTime began_;
  // The last reading failed: the failure was logged.
  bool failing_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace juniperway::control
