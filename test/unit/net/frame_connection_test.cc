#include "common/net/frame_connection.h"

#include <doctest/doctest.h>

#include <asio/write.hpp>
#include <string>

#include "common/protocol/query_generated.h"
#include "support/event_loop.h"

namespace juniperway::net {
namespace {

using asio::ip::tcp;

const tcp::endpoint kLoopback(asio::ip::address_v4::loopback(), 0);

// Two connected FrameConnections on one event loop.
struct Pair {
  Pair()
      : listener(context, kLoopback, [this](auto connection) {
          accepted = std::move(connection);
        }) {
    FrameConnection::Connect(context, listener.local_endpoint(), seconds(10),
                             [this](auto result) {
                               REQUIRE(result.has_value());
                               dialed = *result;
                             });
    REQUIRE(test::RunUntil(context, [this] { return dialed && accepted; }));
  }

  asio::io_context context;
  std::shared_ptr<FrameConnection> dialed;
  std::shared_ptr<FrameConnection> accepted;
  FrameListener listener;
};

flatbuffers::FlatBufferBuilder QueryOf(std::uint64_t query_id,
                                       const std::string& text) {
  flatbuffers::FlatBufferBuilder builder;
  const auto query_text = builder.CreateString(text);
  protocol::BatchRequestBuilder request(builder);
  request.add_query_id(query_id);
  request.add_query_text(query_text);
  const auto message = request.Finish();
  builder.FinishSizePrefixed(protocol::CreateQueryFrame(
      builder, protocol::QueryMessage::BatchRequest, message.Union()));
  return builder;
}

}  // namespace

TEST_CASE("frames of any size arrive whole, in order and well-formed") {
  Pair pair;
  std::vector<std::uint64_t> ids;
  std::vector<std::size_t> sizes;
  pair.accepted->Start(
      [&](FrameBytes frame) {
        const auto* root = ReadFrame<protocol::QueryFrame>(frame);
        REQUIRE(root != nullptr);
        const auto* request = root->message_as_BatchRequest();
        REQUIRE(request != nullptr);
        CHECK(reinterpret_cast<std::uintptr_t>(request) % 4 == 0);
        ids.push_back(request->query_id());
        sizes.push_back(request->query_text()->size());
      },
      [] {});
  pair.dialed->Start([](FrameBytes) {}, [] {});
  const std::vector<std::size_t> wanted = {0, 1, 2, 3, 5000, 3'000'000, 7, 0};
  for (std::size_t i = 0; i < wanted.size(); ++i) {
    pair.dialed->Send(QueryOf(i, std::string(wanted[i], 'x')));
  }
  CHECK(pair.dialed->queued_bytes() > 3'000'000);
  REQUIRE(test::RunUntil(pair.context,
                         [&] { return ids.size() == wanted.size(); }));
  CHECK(ids == std::vector<std::uint64_t>{0, 1, 2, 3, 4, 5, 6, 7});
  CHECK(sizes == wanted);
  CHECK(pair.dialed->queued_bytes() == 0);
  CHECK(pair.dialed->sent_bytes() == pair.accepted->received_bytes());
}

TEST_CASE("a close is told once to each side, and not inside Close") {
  Pair pair;
  int dialed_closes = 0;
  int accepted_closes = 0;
  pair.dialed->Start([](FrameBytes) {}, [&] { ++dialed_closes; });
  pair.accepted->Start([](FrameBytes) {}, [&] { ++accepted_closes; });
  pair.dialed->Close();
  pair.dialed->Close();
  CHECK(dialed_closes == 0);
  CHECK(pair.dialed->closed());
  REQUIRE(test::RunUntil(pair.context, [&] { return accepted_closes > 0; }));
  test::RunReady(pair.context);
  CHECK(dialed_closes == 1);
  CHECK(accepted_closes == 1);
}

TEST_CASE("a discarded connection tells only the other side") {
  Pair pair;
  int dialed_closes = 0;
  int accepted_closes = 0;
  pair.dialed->Start([](FrameBytes) {}, [&] { ++dialed_closes; });
  pair.accepted->Start([](FrameBytes) {}, [&] { ++accepted_closes; });
  pair.dialed->Discard();
  REQUIRE(test::RunUntil(pair.context, [&] { return accepted_closes > 0; }));
  CHECK(dialed_closes == 0);
}

TEST_CASE("a frame above the limit closes the connection unread") {
  asio::io_context context;
  std::shared_ptr<FrameConnection> accepted;
  bool closed = false;
  FrameListener listener(context, kLoopback, [&](auto connection) {
    accepted = std::move(connection);
    accepted->Start([](FrameBytes) { FAIL("no frame was sent"); },
                    [&] { closed = true; });
  });
  tcp::socket raw(context);
  raw.connect(listener.local_endpoint());
  const std::uint32_t size = kMaximumFrameBytes + 1;
  asio::write(raw, asio::buffer(&size, sizeof(size)));
  CHECK(test::RunUntil(context, [&] { return closed; }));
}

TEST_CASE("a peer that reads nothing loses its connection at the bound") {
  Pair pair;  // the accepted side is never started: it reads nothing
  int closes = 0;
  pair.dialed->Start([](FrameBytes) {}, [&] { ++closes; });
  constexpr std::size_t kLimit = 8U << 20;
  pair.dialed->LimitQueue(kLimit);
  const auto frame = QueryOf(1, std::string(1U << 20, 'x'));
  // What the kernel takes doesn't count.
  for (int sent = 0; sent < 1000 && !pair.dialed->closed(); ++sent) {
    pair.dialed->Send(frame);
    CHECK(pair.dialed->queued_bytes() <= kLimit);
    test::RunReady(pair.context);
  }
  CHECK(pair.dialed->closed());
  REQUIRE(test::RunUntil(pair.context, [&] { return closes == 1; }));
}

TEST_CASE("a connection attempt to nobody fails as a value") {
  asio::io_context context;
  tcp::endpoint unused;
  {
    const tcp::acceptor acceptor(context, kLoopback);
    unused = acceptor.local_endpoint();
  }
  std::optional<ErrorCode> code;
  FrameConnection::Connect(context, unused, seconds(10), [&](auto result) {
    REQUIRE_FALSE(result.has_value());
    code = result.error().code;
  });
  CHECK(test::RunUntil(context, [&] { return code.has_value(); }));
  CHECK(code == ErrorCode::kUnavailable);
}

}  // namespace juniperway::net
