// Batches and cancels that are cut off, changed or garbage, on a real
// connection to an owner: what is submitted is sound, and nothing crashes.
#include <doctest/doctest.h>

#include <asio/read.hpp>
#include <asio/write.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/gateway/front_link.h"
#include "common/gateway/query_codec.h"
#include "support/event_loop.h"
#include "support/frame_mutation.h"
#include "support/property.h"

namespace juniperway::test {
namespace {

using Frame = std::vector<std::uint8_t>;
using asio::ip::tcp;

constexpr std::uint64_t kSeed = 20263;
constexpr int kRuns = 3000;

// Answers each subquery at once.
class AnsweringHandler : public gateway::FrontLink::Handler {
 public:
  owner::SubqueryId NewSubqueryId() override { return ++last_id_; }
  void Submit(owner::SubqueryId,
              const std::shared_ptr<gateway::FrontLink>& link,
              std::uint64_t query_id, std::uint32_t attempt_id,
              gateway::SubqueryOrder order) override {
    orders.push_back(std::move(order));
    gateway::SubqueryAnswer answer;
    answer.attempt_id = attempt_id;
    link->Complete(query_id, std::move(answer));
  }
  void Cancel(owner::SubqueryId) override {}
  void OnClosed(const std::shared_ptr<gateway::FrontLink>&) override {
    closed = true;
  }

  std::vector<gateway::SubqueryOrder> orders;
  bool closed = false;

 private:
  owner::SubqueryId last_id_ = 0;
};

// An owner's end of a connection, and a bare socket at the front's.
struct LinkFixture {
  LinkFixture()
      : listener(context, {asio::ip::address_v4::loopback(), 0},
                 [this](std::shared_ptr<net::FrameConnection> connection) {
                   link = std::make_shared<gateway::FrontLink>(
                       context, std::move(connection), Duration(0), handler);
                   link->Start();
                 }),
        front(context) {
    front.connect(listener.local_endpoint());
  }
  ~LinkFixture() {
    if (link != nullptr) {
      link->Close();
    }
    front.close();
    listener.Close();
    RunReady(context);
  }

  // Sends the frame and hangs up; returns when the owner's end has seen all.
  bool Feed(const Frame& frame) {
    std::uint8_t prefix[sizeof(flatbuffers::uoffset_t)];
    flatbuffers::WriteScalar(prefix,
                             static_cast<flatbuffers::uoffset_t>(frame.size()));
    asio::error_code ignored;
    asio::write(front, asio::buffer(prefix), ignored);
    asio::write(front, asio::buffer(frame), ignored);
    front.shutdown(tcp::socket::shutdown_send, ignored);
    return RunUntil(context, [this] { return handler.closed; });
  }

  asio::io_context context;
  AnsweringHandler handler;
  std::shared_ptr<gateway::FrontLink> link;
  net::FrameListener listener;
  tcp::socket front;
};

Frame WholeBatch() {
  routing::QueryRequest request;
  request.request_id = "r";
  request.service = "s";
  request.text = "text";
  routing::Batch batch;
  batch.index_version = 7;
  batch.row_limit = 100;
  batch.remaining = milliseconds(50);
  batch.subqueries.push_back(
      {.attempt_id = 1, .backend = "b", .shard = "x", .range = {0, 5}});
  batch.subqueries.push_back(
      {.attempt_id = 2, .backend = "c", .shard = "y", .range = {5, 9}});
  return WithoutPrefix(gateway::EncodeBatch(3, request, batch));
}

void RequireSound(const AnsweringHandler& handler) {
  for (const gateway::SubqueryOrder& order : handler.orders) {
    RC_ASSERT(order.range.begin <= order.range.end);
    RC_ASSERT(order.remaining >= Duration(0));
    RC_ASSERT(order.remaining <= seconds(24 * 3600));
    RC_ASSERT(order.query != nullptr);
  }
}

}  // namespace

TEST_CASE("a whole batch is submitted, a cut one or garbage is not") {
  {
    LinkFixture fixture;
    REQUIRE(fixture.Feed(WholeBatch()));
    CHECK(fixture.handler.orders.size() == 2);
  }
  CheckProperty("garbage", kSeed, kRuns, [] {
    LinkFixture fixture;
    RC_ASSERT(fixture.Feed(*rc::gen::arbitrary<Frame>()));
    RequireSound(fixture.handler);
  });
}

TEST_CASE("changed batches and cancels are refused or sound") {
  const std::vector<Frame> whole = {
      WholeBatch(), WithoutPrefix(gateway::EncodeCancel(3, {1, 2}))};
  int submitted = 0;
  CheckProperty("changed bytes", kSeed + 1, kRuns, [&] {
    LinkFixture fixture;
    RC_ASSERT(fixture.Feed(MutateBytes(*rc::gen::elementOf(whole))));
    submitted += fixture.handler.orders.empty() ? 0 : 1;
    RequireSound(fixture.handler);
  });
  CHECK(submitted > kRuns / 50);
}

}  // namespace juniperway::test
