// Calls of the resource API that wait for their outcome: one control machine
// after the other, a change always under the same change id, until an answer
// is final or the time is up.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "common/net/http_client.h"
#include "ctl/failure.h"

namespace juniperway::ctl {

// What `--server`, `--token-file` and `--timeout` say.
struct ApiSettings {
  std::vector<asio::ip::tcp::endpoint> servers;  // at least one
  std::string token;                             // empty: none is sent
  Duration timeout = seconds(30);
};

struct ApiRequest {
  std::string method = "GET";
  std::string path;  // encoded, with its query string
  std::string body;
  // Of a change; makes it repeatable.
  std::string change_id;
  // Longer than a control machine takes to give up on its own (5 s), so that
  // its word on the outcome is heard.
  Duration attempt_timeout = seconds(6);
};

class ApiClient {
 public:
  // Runs `context` during calls, and nothing of it between them.
  ApiClient(asio::io_context& context, ApiSettings settings);

  // @return the body of a 2xx answer, whatever it holds.
  Outcome<std::string> CallRaw(const ApiRequest& request);
  // The same for calls that are answered with JSON.
  Outcome<nlohmann::json> Call(const ApiRequest& request);
  Outcome<nlohmann::json> Get(const std::string& path);

  // The next call asks the machine after the one that answered last.
  void UseNextServer();

  // Runs `context` for that long.
  void Pause(Duration duration);

  const ApiSettings& settings() const { return settings_; }
  // The moment at which calls are given up; starts with this object.
  MonotonicTime deadline() const { return deadline_; }
  // For commands that run on without end: each call has the whole time.
  void RestartDeadline();

 private:
  net::HttpClientResponse TryOnce(const ApiRequest& request);

  asio::io_context& context_;
  ApiSettings settings_;
  net::HttpClient http_;
  MonotonicTime deadline_;
  std::size_t server_ = 0;  // tried next
};

// The failure that a final answer with an error status stands for.
Failure FailureOf(const net::HttpClientResponse& response);

// For one segment of a path.
std::string PercentEncode(const std::string& text);

}  // namespace juniperway::ctl
