// A fake control node for tests of API clients: it serves the resource API of a
// fixture and injects the faults that the test lists.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "common/net/address.h"
#include "common/net/http_server.h"
#include "support/api_fixture.h"

namespace juniperway::test {

// Owned by a test, which also owns the io_context and the fixture; both must
// outlive this object.
class StandInControl {
 public:
  // How the node treats one call.
  enum class Behaviour {
    kServe,
    kNoLeader,    // Answers 503 without running the call.
    kLoseAnswer,  // Runs the call and closes the connection without an answer.
    kFail,        // Answers 500, which says that the call may have run.
  };

  StandInControl(asio::io_context& context, ApiFixture& fixture)
      : context_(context), fixture_(fixture) {
    Open();
  }

  std::string address() const { return address_; }
  // Behaviours of the next calls, one for each; calls after them are served.
  std::deque<Behaviour> next;
  // All requests so far.
  std::vector<net::HttpRequest> requests;

 private:
  void Open() {
    net::HttpServerOptions options;
    options.endpoint = {asio::ip::address_v4::loopback(), 0};
    server_ = std::make_unique<net::HttpServer>(
        context_, options,
        [this](const net::HttpRequest& request, const auto& responder) {
          Handle(request, responder);
        });
    address_ = net::FormatEndpoint(server_->local_endpoint());
  }

  void Handle(const net::HttpRequest& request,
              const std::shared_ptr<net::HttpResponder>& responder) {
    requests.push_back(request);
    Behaviour behaviour = Behaviour::kServe;
    if (!next.empty()) {
      behaviour = next.front();
      next.pop_front();
    }
    if (behaviour == Behaviour::kNoLeader) {
      responder->Send(net::ErrorResponse(
          503, {ErrorCode::kUnavailable, "", "no leader"}, "not-run"));
      return;
    }
    if (behaviour == Behaviour::kFail) {
      responder->Send(net::ErrorResponse(
          500, {ErrorCode::kInternal, "", "failed"}, "may-have-run"));
      return;
    }
    net::HttpResponse response = fixture_.Call(
        {request.method, request.path, request.query,
         request.Header("x-change-id").value_or("made"), request.body});
    if (behaviour == Behaviour::kLoseAnswer) {
      server_->Close();
      return;
    }
    responder->Send(std::move(response));
  }

  asio::io_context& context_;
  ApiFixture& fixture_;
  std::unique_ptr<net::HttpServer> server_;
  std::string address_;
};

}  // namespace juniperway::test
