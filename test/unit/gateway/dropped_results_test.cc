// Results that do not belong to a running subquery: dropped and counted, and
// never part of an answer. A scripted owner sends them.
#include <doctest/doctest.h>
#include <flatbuffers/flatbuffers.h>

#include <vector>

#include "common/net/address.h"
#include "common/net/frame_connection.h"
#include "common/protocol/query_generated.h"
#include "support/in_process_fleet.h"

namespace juniperway::test {
namespace {

using nlohmann::json;

// One subquery as the front asked for it.
struct Asked {
  std::uint64_t query_id = 0;
  std::uint32_t attempt_id = 0;
  KeyRange range;
};

// Listens as an owner and answers what the test says.
class ScriptedOwner {
 public:
  explicit ScriptedOwner(asio::io_context& context)
      : listener_(context, {asio::ip::address_v4::loopback(), 0},
                  [this](std::shared_ptr<net::FrameConnection> connection) {
                    OnAccept(std::move(connection));
                  }) {}

  std::string address() const {
    return net::FormatEndpoint(listener_.local_endpoint());
  }

  // One row at `key`.
  void SendRow(std::uint64_t query_id, std::uint32_t attempt_id, Key key,
               const std::string& value) {
    flatbuffers::FlatBufferBuilder builder;
    const std::vector rows = {
        protocol::CreateRow(builder, key, builder.CreateString(value))};
    const std::vector results = {protocol::CreateSubqueryResult(
        builder, attempt_id, protocol::SubqueryOutcome::kRows,
        builder.CreateVector(rows))};
    const auto batch = protocol::CreateBatchResult(
        builder, query_id, builder.CreateVector(results));
    const auto frame = protocol::CreateQueryFrame(
        builder, protocol::QueryMessage::BatchResult, batch.Union());
    protocol::FinishSizePrefixedQueryFrameBuffer(builder, frame);
    connection_->Send(builder);
  }

  // A frame that holds no message.
  void SendDamaged() {
    flatbuffers::FlatBufferBuilder builder;
    builder.FinishSizePrefixed(builder.CreateString("damaged"));
    connection_->Send(builder);
  }

  std::vector<Asked> asked;
  int lost_connections = 0;

 private:
  void OnAccept(std::shared_ptr<net::FrameConnection> connection) {
    connection_ = std::move(connection);
    connection_->Start([this](net::FrameBytes frame) { OnFrame(frame); },
                       [this] { ++lost_connections; });
  }

  void OnFrame(net::FrameBytes frame) {
    const auto* message = net::ReadFrame<protocol::QueryFrame>(frame);
    REQUIRE(message != nullptr);
    const auto* batch = message->message_as_BatchRequest();
    if (batch == nullptr) {
      return;
    }
    for (const protocol::Subquery* subquery : *batch->subqueries()) {
      asked.push_back({batch->query_id(),
                       subquery->attempt_id(),
                       {subquery->range_begin(), subquery->range_end()}});
    }
  }

  std::shared_ptr<net::FrameConnection> connection_;
  net::FrameListener listener_;
};

double Dropped(InProcessFleet& fleet, const std::string& reason) {
  return fleet.Metric("juniperway_front_dropped_results_total{reason=\"" +
                      reason + "\"}");
}

}  // namespace

TEST_CASE("late, duplicate, foreign and out-of-range rows reach no answer") {
  InProcessFleet fleet({.partitions = 2, .zones = 1});
  ScriptedOwner owner(fleet.context);
  fleet.SetOwnerAddress(0, owner.address());
  fleet.Publish();
  const auto exchange = fleet.Start({});
  REQUIRE(fleet.Run([&] { return owner.asked.size() == 2; }));
  const Asked first = owner.asked[0];
  const Asked second = owner.asked[1];
  // Of a query that never was, of an attempt that never was.
  owner.SendRow(first.query_id + 1, first.attempt_id, first.range.begin, "f");
  owner.SendRow(first.query_id, 99, first.range.begin, "f");
  owner.SendRow(first.query_id, first.attempt_id, first.range.begin, "own");
  // Again, and one that belongs to the other's range.
  owner.SendRow(first.query_id, first.attempt_id, first.range.begin, "again");
  owner.SendRow(second.query_id, second.attempt_id, first.range.begin, "other");
  REQUIRE(fleet.Run([&] { return exchange->done(); }));
  CHECK(exchange->status() == 200);
  CHECK(exchange->body()["rows"] ==
        json::array({{{"key", first.range.begin}, {"value", "own"}}}));
  owner.SendRow(first.query_id, first.attempt_id, first.range.begin, "late");
  CHECK(fleet.Run([&] { return Dropped(fleet, "late") == 1; }));
  CHECK(Dropped(fleet, "foreign") == 2);
  CHECK(Dropped(fleet, "duplicate") == 1);
  CHECK(fleet.Metric("juniperway_front_out_of_range_rows_total") == 1);
}

TEST_CASE("a damaged message: its connection is closed, its queries go on") {
  InProcessFleet fleet({.partitions = 1, .zones = 1});
  ScriptedOwner owner(fleet.context);
  fleet.SetOwnerAddress(0, owner.address());
  fleet.Publish();
  const auto exchange = fleet.Start({});
  REQUIRE(fleet.Run([&] { return owner.asked.size() == 1; }));
  owner.SendDamaged();
  REQUIRE(fleet.Run([&] { return owner.lost_connections == 1; }));
  // Retried on a new connection.
  REQUIRE(fleet.Run([&] { return owner.asked.size() == 2; }));
  owner.SendRow(owner.asked[1].query_id, owner.asked[1].attempt_id, 1, "own");
  REQUIRE(fleet.Run([&] { return exchange->done(); }));
  CHECK(exchange->status() == 200);
}

TEST_CASE("two queries at once: each gets its own rows") {
  InProcessFleet fleet({.partitions = 1, .zones = 1});
  ScriptedOwner owner(fleet.context);
  fleet.SetOwnerAddress(0, owner.address());
  fleet.Publish();
  CallerRequest request;
  request.headers = {{"X-Request-Id", "one"}};
  const auto one = fleet.Start(request);
  REQUIRE(fleet.Run([&] { return owner.asked.size() == 1; }));
  request.headers = {{"X-Request-Id", "two"}};
  const auto two = fleet.Start(request);
  REQUIRE(fleet.Run([&] { return owner.asked.size() == 2; }));
  // In the other order; the attempts have the same number.
  owner.SendRow(owner.asked[1].query_id, owner.asked[1].attempt_id, 2, "two");
  owner.SendRow(owner.asked[0].query_id, owner.asked[0].attempt_id, 1, "one");
  REQUIRE(fleet.Run([&] { return one->done() && two->done(); }));
  CHECK(one->body()["request_id"] == "one");
  CHECK(one->body()["rows"][0]["value"] == "one");
  CHECK(two->body()["request_id"] == "two");
  CHECK(two->body()["rows"][0]["value"] == "two");
}

}  // namespace juniperway::test
