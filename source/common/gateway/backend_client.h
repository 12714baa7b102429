// HTTP to one back end: searches, cancels and health probes, as laid down in
// docs/design/interfaces.md. Holds all connections to it.
#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "common/base/key_range.h"
#include "common/base/time.h"
#include "common/net/http_client.h"
#include "common/owner/fair_queue.h"
#include "common/resources/resource.h"

namespace juniperway::gateway {

// What all subqueries of one query share.
struct QueryContext {
  std::string request_id;
  std::string service;
  std::string request_class;
  resources::IndexVersion index_version = 0;
  std::string text;
  std::uint32_t row_limit = 0;
  bool repeatable = true;
};

struct SearchRequest {
  std::shared_ptr<const QueryContext> query;
  std::string attempt_id;  // unique in the fleet
  std::string shard;
  KeyRange range;
};

// One thread. Destroying it closes every connection; no callback runs then.
class BackendClient {
 public:
  using Callback = std::function<void(const net::HttpClientResponse&)>;

  // @param address "ip:port".
  // @param maximum_connections open at once, idle ones included.
  BackendClient(asio::io_context& context, const std::string& address,
                std::uint32_t maximum_connections);

  // @param remaining what the back end is told it has left.
  // @param timeout when the exchange is given up on its own.
  void Search(owner::SubqueryId id, const SearchRequest& request,
              Duration remaining, Duration timeout, Callback callback);

  // Closes the connection of a search; its callback does not run.
  void Abandon(owner::SubqueryId id);

  void Cancel(const std::string& attempt_id, Duration timeout,
              Callback callback);

  void Probe(Duration timeout, Callback callback);

 private:
  // Names the exchange: a back end repeats the name, so that a late answer to
  // an earlier exchange on the connection is told from this one's.
  static void NameExchange(net::HttpClientRequest& request,
                           const std::string& name);

  std::uint64_t probes_ = 0;
  std::string base_url_;
  std::map<owner::SubqueryId, net::HttpClient::RequestHandle> searches_;
  net::HttpClient http_;
};

}  // namespace juniperway::gateway
