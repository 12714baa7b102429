// The owner tier's I/O shell: the only part of the fleet that talks to the back
// ends this daemon owns. It listens for fronts (query.fbs), asks the decision
// code in common/owner/ what to start, refuse or cancel, and talks HTTP to the
// back ends.
#pragma once

#include <prometheus/registry.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "common/base/time.h"
#include "common/session/control_session.h"
#include "common/session/fleet_view.h"

namespace juniperway::gateway {

struct OwnerOptions {
  std::string daemon_id;
  // Changes with each start of the process; part of each X-Attempt-Id.
  std::uint64_t incarnation = 0;
  std::string zone;
  // Where fronts connect; port 0 lets the kernel choose.
  asio::ip::tcp::endpoint listen;
  // Taken off the time left before it is passed to a back end, so that the
  // answer can still reach the front.
  Duration hop_margin = milliseconds(1);
  // Health probe period; each probe is moved by up to a quarter of it.
  Duration probe_interval = seconds(1);
  // Results of one query that become ready within this time share a message.
  Duration flush_delay = microseconds(200);
  // Seeds the jitter of probes and of the breaker's back-off.
  std::uint64_t seed = 1;
};

// One thread: the constructor, every method and every callback run on the
// io_context's thread. The session's listeners are not touched: whoever wires
// the daemon calls OnView and OnProgress from them.
class OwnerServer {
 public:
  // Listens at once. `context`, `session` and `registry` outlive the server.
  // Throws std::system_error when the address cannot be bound (set-up fault).
  OwnerServer(asio::io_context& context, const OwnerOptions& options,
              session::ControlSession& session, prometheus::Registry& registry);
  ~OwnerServer();
  OwnerServer(const OwnerServer&) = delete;
  OwnerServer& operator=(const OwnerServer&) = delete;

  asio::ip::tcp::endpoint local_endpoint() const;

  // Call from the session's view listener: applies the new view before the
  // daemon confirms its revision.
  void OnView(const session::FleetViewPointer& view);

  // Call from the session's progress listener.
  void OnProgress();

  // Planned stop: queued subqueries are refused as not run, nothing new starts,
  // those at back ends finish. `done` runs once, when the last result has been
  // handed to the network or `timeout` has passed (the rest is then cut off).
  // Call it after ControlSession::Leave has told the fleet.
  void Stop(Duration timeout, std::function<void()> done);

  // Subqueries at back ends plus queued ones.
  std::size_t in_flight() const;

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace juniperway::gateway
