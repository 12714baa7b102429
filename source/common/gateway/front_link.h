// One front's connection to this owner: takes its batches apart, remembers
// which attempts are under way, and sends results that become ready together in
// one message.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/base/time.h"
#include "common/gateway/backend_client.h"
#include "common/net/frame_connection.h"
#include "common/owner/backend_reply.h"
#include "common/protocol/query_generated.h"

namespace juniperway::gateway {

// One subquery as a front asked for it.
struct SubqueryOrder {
  std::shared_ptr<const QueryContext> query;
  std::string backend;
  std::string shard;
  KeyRange range;
  // Time left when the batch arrived.
  Duration remaining{0};
};

// One subquery's result, as sent to the front.
struct SubqueryAnswer {
  std::uint32_t attempt_id = 0;
  protocol::SubqueryOutcome outcome = protocol::SubqueryOutcome::kShed;
  std::vector<owner::SearchRow> rows;
  std::uint32_t dropped_rows = 0;
  Duration service_time{0};
  std::uint32_t load = 0;
  std::uint32_t slots = 0;
  Duration retry_after{0};
};

class FrontLink : public std::enable_shared_from_this<FrontLink> {
 public:
  // What the owner does for a link. All calls are on the loop's thread.
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual owner::SubqueryId NewSubqueryId() = 0;
    // The one result comes back through Complete, perhaps inside this call.
    virtual void Submit(owner::SubqueryId id,
                        const std::shared_ptr<FrontLink>& link,
                        std::uint64_t query_id, std::uint32_t attempt_id,
                        SubqueryOrder order) = 0;
    virtual void Cancel(owner::SubqueryId id) = 0;
    virtual void OnClosed(const std::shared_ptr<FrontLink>& link) = 0;
  };

  FrontLink(asio::io_context& context,
            std::shared_ptr<net::FrameConnection> connection,
            Duration flush_delay, Handler& handler);

  // Begins to read; `handler` outlives the link or calls Close first.
  void Start();

  // The result of one attempt. Ignored after the connection was lost.
  void Complete(std::uint64_t query_id, SubqueryAnswer answer);

  // Sends what is ready and closes nothing.
  void Flush();

  // Closes the connection; the handler is not called any more.
  void Close();

  // Bytes handed over but not yet written.
  std::size_t queued_bytes() const { return connection_->queued_bytes(); }

 private:
  struct Query {
    // Attempts without a result yet.
    std::unordered_map<std::uint32_t, owner::SubqueryId> open;
    std::vector<SubqueryAnswer> ready;
  };

  void OnFrame(net::FrameBytes frame);
  void OnBatch(const protocol::BatchRequest& batch);
  void OnCancel(const protocol::CancelRequest& cancel);
  void OnClosed();
  void ScheduleFlush(bool at_once);
  void SendReady(std::uint64_t query_id,
                 const std::vector<SubqueryAnswer>& answers);

  asio::io_context& context_;
  std::shared_ptr<net::FrameConnection> connection_;
  Duration flush_delay_;
  Handler* handler_;
  std::map<std::uint64_t, Query> queries_;
  // Queries with results that wait to be sent.
  std::vector<std::uint64_t> unsent_;
  asio::steady_timer flush_timer_;
  enum class FlushState { kNone, kTimed, kPosted };
  FlushState flush_state_ = FlushState::kNone;
};

}  // namespace juniperway::gateway
