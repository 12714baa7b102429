// Results of a batch that are cut off, changed or garbage: refused, or within
// what the rest of the gateway takes.
#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <vector>

#include "common/gateway/query_codec.h"
#include "common/protocol/query_generated.h"
#include "support/frame_mutation.h"
#include "support/property.h"

namespace juniperway::test {
namespace {

using Frame = std::vector<std::uint8_t>;

constexpr std::uint64_t kSeed = 20262;
constexpr int kRuns = 20000;

Frame WholeResult() {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<protocol::Row>> rows = {
      protocol::CreateRowDirect(builder, 5, "five"),
      protocol::CreateRowDirect(builder, 9, "nine")};
  std::vector<flatbuffers::Offset<protocol::SubqueryResult>> results = {
      protocol::CreateSubqueryResultDirect(
          builder, 1, protocol::SubqueryOutcome::kRows, &rows, 1, 30, 2, 5, 0),
      protocol::CreateSubqueryResultDirect(builder, 2,
                                           protocol::SubqueryOutcome::kShed,
                                           nullptr, 0, 0, 2, 5, 1000)};
  const auto message = protocol::CreateBatchResultDirect(builder, 77, &results);
  builder.FinishSizePrefixed(protocol::CreateQueryFrame(
      builder, protocol::QueryMessage::BatchResult, message.Union()));
  return WithoutPrefix(builder);
}

// What the query run relies on; reads every byte that it would.
void RequireSound(const gateway::BatchReply& reply, std::size_t frame_size) {
  std::size_t bytes = 0;
  for (const routing::OwnerResult& one : reply.replies) {
    RC_ASSERT(one.outcome <= protocol::SubqueryOutcome::MAX);
    RC_ASSERT(one.retry_after >= Duration(0));
    for (const auto& row : one.block.rows) {
      for (const char character : row.value) {
        bytes += character == 'x' ? 2 : 1;
      }
    }
  }
  // Rows may share their bytes; there are not more of them than bytes.
  RC_ASSERT(bytes <= 2 * frame_size * frame_size);
}

}  // namespace

TEST_CASE("whole results decode; cut ones and garbage do no harm") {
  const Frame whole = WholeResult();
  const auto reply = gateway::DecodeBatchResult(whole);
  REQUIRE(reply.has_value());
  REQUIRE(reply->replies.size() == 2);
  CHECK(reply->query_id == 77);
  CHECK(reply->replies[0].block.rows.at(1).value == "nine");
  CHECK(reply->replies[1].retry_after == Duration(1000));
  for (std::size_t size = 0; size < whole.size(); ++size) {
    const Frame cut(whole.begin(),
                    whole.begin() + static_cast<std::ptrdiff_t>(size));
    if (const auto partial = gateway::DecodeBatchResult(cut)) {
      RequireSound(*partial, cut.size());
    }
  }
  CheckProperty("garbage", kSeed, kRuns, [] {
    const auto garbage = *rc::gen::arbitrary<Frame>();
    if (const auto decoded = gateway::DecodeBatchResult(garbage)) {
      RequireSound(*decoded, garbage.size());
    }
  });
}

TEST_CASE("changed results are refused or sound") {
  const Frame whole = WholeResult();
  int decoded = 0;
  CheckProperty("changed bytes", kSeed + 1, kRuns, [&] {
    const Frame changed = MutateBytes(whole);
    if (const auto reply = gateway::DecodeBatchResult(changed)) {
      ++decoded;
      RequireSound(*reply, changed.size());
    }
  });
  CHECK(decoded > kRuns / 50);
}

TEST_CASE("requests and cancels are no results") {
  routing::QueryRequest request;
  request.request_id = "r";
  request.service = "s";
  request.text = "text";
  routing::Batch batch;
  batch.subqueries.push_back(
      {.attempt_id = 1, .backend = "b", .shard = "x", .range = {0, 5}});
  CHECK_FALSE(gateway::DecodeBatchResult(
                  WithoutPrefix(gateway::EncodeBatch(3, request, batch)))
                  .has_value());
  CHECK_FALSE(gateway::DecodeBatchResult(
                  WithoutPrefix(gateway::EncodeCancel(3, {1, 2})))
                  .has_value());
}

}  // namespace juniperway::test
