// One control machine: consensus node, session server for daemons and resource
// API in one event loop. The decisions lie in raft/fsm.h, control_state.h and
// lease_table.h; this is the I/O shell that ties them together.
#pragma once

#include <prometheus/registry.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/base/error.h"
#include "common/base/locality.h"
#include "common/base/time.h"
#include "common/quota/rate_limit.h"
#include "common/raft/types.h"
#include "common/rollout/rollout.h"
#include "common/storage/log_store.h"

namespace juniperway::control {

// Where a daemon keeps the consensus store, in its data folder.
inline constexpr const char* kControlFolderName = "control";

struct ControlServerOptions {
  // Identity of the fleet; peers and daemons of another one are refused.
  std::string cluster;
  raft::NodeId node_id = raft::kNoNode;
  // Where this machine stands; daemons prefer the nearest one.
  Place place;
  // Resource API. Port 0: chosen by the kernel (see http_endpoint()).
  asio::ip::tcp::endpoint http_listen;
  // Consensus and daemon sessions. Port 0: chosen by the kernel.
  asio::ip::tcp::endpoint peer_listen;
  // Voters of a cluster that starts for the first time, this node among them;
  // must be the same on each. Empty: this node waits until the cluster adds it.
  // Ignored when the store holds a state.
  std::vector<raft::Member> initial_members;
  // Content of the token file, without blanks at its ends. Empty: the API is
  // served on the loopback interface only (port of `http_listen`).
  std::string bearer_token;
  // Platform list, "http://10.0.0.9:9000/v1/machines"; empty: none.
  std::string platform_url;
  Duration platform_poll_interval = seconds(2);
  // Discovery list of back ends for HTTP forwarding; empty: none.
  std::string discovery_url;
  Duration discovery_interval = seconds(1);
  double discovery_calls_per_second = 50;
  // How far the fleet may go beyond tenants' limits.
  quota::RateTolerance tenant_tolerance;
  // What a version that turns out bad in its roll-out may be sent.
  rollout::ExposureLimit rollout_exposure;
  // Serves the resource API on http_listen although there is no token.
  bool open_api = false;
  // The group replaces lost control machines by itself: resource API addresses
  // of machines to ask for membership ("ip:port"), the voters to have, and what
  // the others dial to reach this machine. No seeds: operators do it.
  std::vector<std::string> seeds;
  std::size_t wanted_voters = 3;
  std::string peer_advertise;
  // Scratch folder for backup files, and where they are made.
  std::filesystem::path data_folder;

  // Consensus timing; see raft::Options.
  Duration raft_heartbeat_interval = milliseconds(100);
  Duration raft_election_timeout = milliseconds(1000);
  double maximum_clock_drift = 0.01;
  // How long a daemon may act on a lease, counted from when it sent the
  // heartbeat.
  Duration lease_duration = seconds(4);
  // Changes of the replicated state wait this long for more, before they are
  // streamed to the daemons in one update.
  Duration update_delay = milliseconds(10);
  // Least time between two updates to one daemon: changes in quick succession
  // travel together.
  Duration update_interval = milliseconds(150);
  // How long a call waits for a leader and its answer before it gets 503.
  Duration call_timeout = seconds(5);
  // A snapshot is taken when the log since the last one has grown past this.
  std::size_t compaction_bytes = 16U << 20;
  std::size_t compaction_entries = 20000;
  // Entries kept behind a snapshot for followers that are a little behind.
  raft::Index kept_entries = 2000;
  // A snapshot for another machine goes out in frames of about this size.
  std::size_t snapshot_part_bytes = 4U << 20;
  // Seed of the election jitter; 0: from the system's random device.
  std::uint64_t seed = 0;
  // Where this machine's metrics go; not null.
  std::shared_ptr<prometheus::Registry> registry =
      std::make_shared<prometheus::Registry>();
  // Runs when the store failed and the node has stopped taking part. Default:
  // the process ends with the error in its log.
  std::function<void(const Error&)> on_store_failure;
};

class ControlServer {
 public:
  // Loads the store, opens both listeners and starts to take part. Every
  // handler runs on `context`'s thread; the caller runs the context.
  // Throws std::exception on set-up faults (address in use, corrupt store).
  ControlServer(asio::io_context& context, const ControlServerOptions& options,
                std::unique_ptr<storage::LogStore> store);
  // Closes everything; must run on the context's thread or after it stopped.
  ~ControlServer();
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

  asio::ip::tcp::endpoint http_endpoint() const;
  asio::ip::tcp::endpoint peer_endpoint() const;

  // Replaces the options' seeds.
  void SetSeeds(const std::vector<std::string>& seeds);

  // Planned stop: hands leadership over where this node leads, then closes.
  // `done` runs once, at the latest after `timeout`.
  void Stop(Duration timeout, std::function<void()> done);

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace juniperway::control
