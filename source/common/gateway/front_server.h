// The front tier over HTTP: takes callers' queries, runs each as a
// routing::QueryRun over connections to the owners of back ends, and answers.
// A thin shell: what to send, wait for and answer is decided in routing/.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "common/base/time.h"
#include "common/net/tls.h"
#include "common/routing/replica_selector.h"
#include "common/session/control_session.h"

namespace prometheus {
class Registry;
}

namespace juniperway::gateway {

struct FrontOptions {
  std::string daemon_id;
  std::string zone;
  std::string region;
  // Where callers connect; port 0 lets the kernel choose.
  asio::ip::tcp::endpoint http_listen;
  // Callers connect by TLS, where set.
  std::optional<net::TlsFiles> http_tls;
  // Queries in flight beyond which new ones are refused at once (not run).
  std::size_t maximum_concurrent_queries = 4096;
  std::size_t maximum_body_bytes = 1U << 20;
  std::size_t maximum_caller_connections = 4096;
  // How long one attempt to connect to an owner may take.
  Duration peer_connect_timeout = milliseconds(1000);
  // A planned stop goes on refusing until no query has come for this long, so
  // that callers and load balancers have turned away before the listener goes.
  Duration quiet_before_drained = milliseconds(500);
  // Of replica choice, jitter and made-up request ids.
  std::uint64_t random_seed = 1;
  routing::ReplicaPolicy replica_policy =
      routing::ReplicaPolicy::kLeastLoadedOfTwo;
};

// One thread: every method and callback runs on the io_context's thread. The
// session and the registry must outlive the server.
class FrontServer {
 public:
  // Throws std::exception when the address cannot be bound (set-up fault).
  FrontServer(asio::io_context& context, const FrontOptions& options,
              session::ControlSession& session, prometheus::Registry& registry);
  ~FrontServer();
  FrontServer(const FrontServer&) = delete;
  FrontServer& operator=(const FrontServer&) = delete;

  asio::ip::tcp::endpoint local_endpoint() const;

  // To be called with each new view (the daemon owns the session's one view
  // listener): routes of running queries follow it, lost owners are noticed.
  void OnView(const session::FleetViewPointer& view);

  // Planned stop: /v1/ready turns 503 and new queries are refused (not run).
  // `drained` runs once, when every query in flight has been answered and
  // callers have turned away.
  void Stop(std::function<void()> drained);

  // Connections are refused from now on; those that are open still get their
  // refusals. For the end of a planned stop.
  void StopAccepting();

  std::size_t running_queries() const;

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace juniperway::gateway
