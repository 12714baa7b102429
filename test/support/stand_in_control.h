// A control machine for tests of its callers: serves the resource API of a
// fixture, and does to its answers what the test asks for.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "common/net/address.h"
#include "common/net/http_server.h"
#include "support/api_fixture.h"

namespace juniperway::test {

class StandInControl {
 public:
  // What becomes of one call; the calls after those listed are served.
  enum class Behaviour {
    kServe,
    kNoLeader,    // 503, not run.
    kLoseAnswer,  // Runs the call and closes the connection.
    kFail,        // 500 of which it isn't known whether it ran.
  };

  StandInControl(asio::io_context& context, ApiFixture& fixture)
      : context_(context), fixture_(fixture) {
    Open();
  }

  std::string address() const { return address_; }
  std::deque<Behaviour> next;
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
