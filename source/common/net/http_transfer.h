// One exchange of the HTTP client on a libcurl easy handle: what is asked of
// libcurl, and what comes back. Knows nothing of sockets or other exchanges.
#pragma once

#include <curl/curl.h>

#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "common/net/http_client.h"
#include "common/net/response_message.h"

namespace juniperway::net {

struct SlistDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using HeaderList = std::unique_ptr<curl_slist, SlistDeleter>;

// The bytes of bodies that the exchanges of one client hold.
struct BodyBudget {
  std::size_t used = 0;
  std::size_t maximum = 0;
};

// One exchange, from Start to its callback.
struct Transfer {
  // Null while it waits for a connection.
  CURL* easy = nullptr;
  HttpClient::RequestHandle handle = 0;
  HttpClientRequest request;
  HttpClient::Callback callback;
  HeaderList headers;
  HttpClientResponse response;
  ResponseMessage message;
  // Of the client, which outlives the exchange.
  BodyBudget* budget = nullptr;
  // Bytes of status lines, header fields and trailers.
  std::size_t header_bytes = 0;
  std::chrono::steady_clock::time_point deadline;
  std::string host;
  // Runs while it waits for a connection.
  std::optional<asio::steady_timer> queue_timer;
  // libcurl got as far as sending the request.
  bool send_began = false;
  // libcurl wanted to send again on another connection.
  bool repeat_refused = false;

  HttpProgress Progress() const;
};

// Sets what all transfers of a client have in common.
// @param kept_idle bound on the idle time of connections, or
//   HttpClient::kDefaultIdleTime.
void ConfigureEasyHandle(CURL* easy, seconds kept_idle);

// Tells libcurl everything about the request; `easy` must be set and
// configured. The transfer must stay where it is until libcurl has let go of
// the handle.
void PrepareTransfer(Transfer* transfer);

// Fills the response from libcurl's result.
void FillResponse(Transfer* transfer, CURLcode result);

}  // namespace juniperway::net
