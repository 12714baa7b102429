// Owners under measurement: stand-in back ends, owners and the front that asks
// them have an event loop and a thread each, so that the owners' processor time
// is theirs alone.
#pragma once

#include <prometheus/registry.h>

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "common/gateway/owner_server.h"
#include "common/gateway/query_codec.h"
#include "common/net/frame_connection.h"
#include "lab/backend/server.h"
#include "lab/bench/fixed_session.h"
#include "lab/bench/loop_thread.h"

namespace juniperway::lab {

// A session whose watermarks the rig sets, and that hands on what is released.
class ReleasingSession : public FixedSession {
 public:
  void SetReleased(resources::Revision revision) { released_ = revision; }
  // Runs with each revision that the owner has released.
  void SetReleaseListener(std::function<void(resources::Revision)> listener) {
    on_released_ = std::move(listener);
  }

  resources::Revision InForceRevision() const override { return released_; }
  resources::Revision ZoneReleasedRevision() const override {
    return released_;
  }
  void ReportReleased(resources::Revision revision) override {
    if (on_released_) {
      on_released_(revision);
    }
  }

 private:
  resources::Revision released_ = 0;
  std::function<void(resources::Revision)> on_released_;
};

struct OwnerRigOptions {
  int backends = 4;
  std::uint32_t slots = 4;
  Duration service_time = milliseconds(1);
  Duration probe_interval = seconds(1);
  std::vector<std::string> owners = {"gateway-1"};
};

class OwnerRig {
 public:
  struct Owner {
    ReleasingSession session;
    std::shared_ptr<prometheus::Registry> registry =
        std::make_shared<prometheus::Registry>();
    std::unique_ptr<gateway::OwnerServer> server;
    // What it last reported as released.
    resources::Revision released = 0;
  };

  explicit OwnerRig(const OwnerRigOptions& options);
  ~OwnerRig();
  OwnerRig(const OwnerRig&) = delete;
  OwnerRig& operator=(const OwnerRig&) = delete;

  static std::string BackendName(int number);
  // By the newest view.
  std::vector<std::string> OwnedBy(const std::string& owner) const;

  // Starts the owners with the view, all of it released.
  void StartOwners();
  // Hands all owners the view after `change`; what they release is told to all
  // at once, as control would.
  void Publish(const std::function<void(session::FleetView&)>& change);

  // Sum of a counter over an owner's labels.
  double Counter(const Owner& owner, const std::string& name) const;

  // A front's connection to an owner. Handlers run on `front`, which calls
  // this.
  std::shared_ptr<net::FrameConnection> Connect(
      asio::io_context& front, const Owner& owner,
      std::function<void(gateway::BatchReply)> on_reply);
  // Asks each of `backends` for one subquery, numbered as its index.
  static void SendBatch(net::FrameConnection& connection,
                        gateway::QueryId query_id,
                        const std::vector<std::string>& backends);

  LoopThread& owner_loop() { return owner_loop_; }
  const std::vector<std::unique_ptr<Owner>>& owners() const { return owners_; }

 private:
  void OnReleased();

  OwnerRigOptions options_;
  LoopThread backend_loop_{"backends"};
  LoopThread owner_loop_{"owners"};
  std::vector<std::unique_ptr<BackendServer>> backends_;
  std::shared_ptr<session::FleetView> view_ =
      std::make_shared<session::FleetView>();
  std::vector<std::unique_ptr<Owner>> owners_;
};

}  // namespace juniperway::lab
