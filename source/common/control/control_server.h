// One control node: consensus, session server for daemons and resource API in
// one event loop. raft/fsm.h, control_state.h and lease_table.h hold the
// decision logic; this class does the I/O.
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

// Name of the folder of the consensus store, inside the daemon's data folder.
inline constexpr const char* kControlFolderName = "control";

// Options of one control node. The caller fills them once, before the server
// starts; only the seeds can be replaced later (ControlServer::SetSeeds).
struct ControlServerOptions {
  // Identity of the fleet; peers and daemons of another fleet are refused.
  std::string cluster;
  raft::NodeId node_id = raft::kNoNode;
  // Zone and region of this node; daemons prefer the nearest control node.
  Place place;
  // Address of the resource API. If the port is 0, the kernel chooses a port;
  // see ControlServer::http_endpoint().
  asio::ip::tcp::endpoint http_listen;
  // Address for other control nodes and for daemon sessions. If the port is 0,
  // the kernel chooses a port; see ControlServer::peer_endpoint().
  asio::ip::tcp::endpoint peer_listen;
  // Voters of a cluster that starts for the first time, including this node;
  // every voter must get the same list. If the list is empty, this node waits
  // until the cluster adds it. The list is ignored when the store already holds
  // state.
  std::vector<raft::Member> initial_members;
  // See raft::Options. Off where each node draws a new id when its store is
  // gone; every node of a cluster must get the same value.
  bool ids_outlive_disks = true;
  // Content of the token file without surrounding white space. If the content
  // is empty, the API listens on the loopback interface only, at the port of
  // `http_listen`, unless `open_api` is set.
  std::string bearer_token;
  // URL of the platform list, such as "http://10.0.0.9:9000/v1/machines".
  // If the URL is empty, the node polls no platform list.
  std::string platform_url;
  Duration platform_poll_interval = seconds(2);
  // URL of the discovery list of backends for HTTP forwarding. If the URL is
  // empty, the node polls no discovery list.
  std::string discovery_url;
  Duration discovery_interval = seconds(1);
  double discovery_calls_per_second = 50;
  // How far the fleet may exceed a tenant's rate limit.
  quota::RateTolerance tenant_tolerance;
  // Bounds the requests that a faulty version receives during the rollout of
  // that version.
  rollout::ExposureLimit rollout_exposure;
  // Serves the resource API on `http_listen` without authentication when
  // `bearer_token` is empty.
  bool open_api = false;
  // With seeds, the group replaces lost members by itself. `seeds` are resource
  // API addresses ("ip:port") that this node sends its membership requests to,
  // `wanted_voters` is the number of voters that the group aims for, and
  // `peer_advertise` is the address at which other control nodes connect to
  // this node. Without seeds, operators add and remove members.
  std::vector<std::string> seeds;
  std::size_t wanted_voters = 3;
  std::string peer_advertise;
  // The daemon's data folder; backup files are written here temporarily.
  std::filesystem::path data_folder;

  // Consensus timing; see raft::Options.
  Duration raft_heartbeat_interval = milliseconds(100);
  Duration raft_election_timeout = milliseconds(1000);
  double maximum_clock_drift = 0.01;
  // How long a daemon may act on a lease, counted from the time at which the
  // daemon sent the heartbeat.
  Duration lease_duration = seconds(4);
  // Delay between a change of the replicated state and the update that carries
  // it to the daemons; one update carries all changes within this time.
  Duration update_delay = milliseconds(10);
  // Minimum time between two updates to one daemon; one update carries all
  // changes within this time.
  Duration update_interval = milliseconds(150);
  // How long an API call waits for the leader's answer. After that the API
  // answers 503 when the call was never sent to a leader, and 504 when its
  // outcome is unknown.
  Duration call_timeout = seconds(5);
  // An operator's order that has no version is not started later than this
  // after it arrived. Callers without a response for one second call another
  // control node.
  Duration order_start_timeout = seconds(1);
  // The node takes a snapshot when the log since the previous snapshot reaches
  // either bound; see IsCompactionDue().
  std::size_t compaction_bytes = 16U << 20;
  std::size_t compaction_entries = 20000;
  // Number of entries that remain in the log before a snapshot's index, so that
  // slightly delayed followers need no snapshot.
  raft::Index kept_entries = 2000;
  // Approximate size in bytes of the frames that carry a snapshot to another
  // control node.
  std::size_t snapshot_part_bytes = 4U << 20;
  // Seed of the random delays, such as election jitter. If the value is 0, the
  // system's random device provides the seed.
  std::uint64_t seed = 0;
  // Registry for this node's metrics; must not be null.
  std::shared_ptr<prometheus::Registry> registry =
      std::make_shared<prometheus::Registry>();
  // The server calls this when the store failed and the node has left
  // consensus. By default, the process logs the error and exits.
  std::function<void(const Error&)> on_store_failure;
};

// Runs one control node. The daemon owns the server and the io_context, and
// runs the context; the server owns the store.
class ControlServer {
 public:
  // Loads the store, opens both listeners and joins consensus. Every handler
  // runs on `context`'s thread.
  // Throws std::exception when an address is in use or the store is corrupt.
  ControlServer(asio::io_context& context, const ControlServerOptions& options,
                std::unique_ptr<storage::LogStore> store);
  // Closes all connections. Must run on the context's thread, or after the
  // context stopped.
  ~ControlServer();
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

  // Returns the address at which the resource API listens.
  asio::ip::tcp::endpoint http_endpoint() const;
  // Returns the address at which other control nodes and daemons connect.
  asio::ip::tcp::endpoint peer_endpoint() const;

  // Replaces the options' seeds.
  void SetSeeds(const std::vector<std::string>& seeds);

  // Graceful shutdown: transfers leadership if this node leads, waits for calls
  // in flight, and closes. `done` runs once, at the latest in the first tick
  // after `timeout`.
  void Stop(Duration timeout, std::function<void()> done);

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace juniperway::control
