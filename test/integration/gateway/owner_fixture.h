// An OwnerServer between a bare front and the lab's stand-in back ends, all in
// one event loop.
#pragma once

#include <prometheus/registry.h>

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "common/gateway/owner_server.h"
#include "common/net/frame_connection.h"
#include "common/routing/query_types.h"
#include "common/session/fleet_view.h"
#include "lab/backend/server.h"
#include "support/static_session.h"

namespace juniperway::test {

inline const std::string kOwnerShard = "s0";
inline constexpr resources::IndexVersion kOwnerVersion = 7;
// Probes are out of the way unless a test asks for them.
inline constexpr Duration kRareProbes = seconds(1000);

// A faultless back end named `name` that takes exactly `service_time`.
lab::BackendSettings StandIn(const std::string& name, std::uint32_t slots,
                             Duration service_time);

class OwnerFixture {
  // Null where the loop is another fixture's.
  std::unique_ptr<asio::io_context> own_context_;

 public:
  using AttemptId = routing::AttemptId;

  explicit OwnerFixture(std::string daemon_id = "g1")
      : own_context_(std::make_unique<asio::io_context>()),
        context(*own_context_),
        daemon_id_(std::move(daemon_id)) {}
  // A further gateway beside `other`, in its event loop and of its view.
  OwnerFixture(OwnerFixture& other, std::string daemon_id)
      : context(other.context),
        view(other.view),
        daemon_id_(std::move(daemon_id)) {}

  // Adds a stand-in; call before Start. Its resource may then be changed in
  // `view`.
  lab::BackendServer& Add(const lab::BackendSettings& settings);
  // Adds a back end that the test serves itself at `address`.
  resources::Backend& AddResource(const std::string& name,
                                  const std::string& address,
                                  std::uint32_t slots,
                                  std::uint32_t maximum_connections);

  // Starts the owner with `view`, which gives it every back end, and connects
  // the front.
  // @param released what the zone has released; 0: the view's revision.
  void Start(Duration probe_interval = kRareProbes,
             resources::Revision released = 0);

  // Makes this gateway a member of `view`.
  void Join();
  // Hands the owner `view` under the next revision, released at once.
  void Publish();
  // ... and not released.
  void PublishUnreleased();

  // Sends one subquery.
  AttemptId Ask(const std::string& backend, Duration remaining = seconds(60),
                const std::string& request_class = "");
  std::vector<AttemptId> AskTimes(const std::string& backend, int count,
                                  Duration remaining = seconds(60));
  void Cancel(AttemptId attempt);

  bool Has(AttemptId attempt) const { return replies.contains(attempt); }
  // Runs the loop until the result is there.
  const routing::OwnerResult& ResultOf(AttemptId attempt);
  routing::SubqueryOutcome OutcomeOf(AttemptId attempt) {
    return ResultOf(attempt).outcome;
  }
  // Asks `count` times and waits for all results.
  std::map<routing::SubqueryOutcome, int> Flood(
      const std::string& backend, int count, Duration remaining = seconds(60));

  bool RunUntil(const std::function<bool()>& condition);
  // Sum over all label values; 0 if there is no such metric.
  double Metric(const std::string& name);
  bool Probed(const std::string& backend) const {
    return session.reports().contains(backend);
  }

  asio::io_context& context;
  StaticSession session{context};
  session::FleetView view;
  std::shared_ptr<prometheus::Registry> registry =
      std::make_shared<prometheus::Registry>();
  std::vector<std::unique_ptr<lab::BackendServer>> servers;
  std::unique_ptr<gateway::OwnerServer> owner;
  std::map<AttemptId, routing::OwnerResult> replies;

 private:
  void Connect();

  std::string daemon_id_;
  std::shared_ptr<net::FrameConnection> front_;
  AttemptId next_attempt_ = 1;
};

}  // namespace juniperway::test
