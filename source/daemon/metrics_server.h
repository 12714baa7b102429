// Serves the process's metrics: GET /metrics, Prometheus text.
#pragma once

#include <prometheus/registry.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>

#include "common/net/http_server.h"

namespace juniperway::daemon {

class MetricsServer {
 public:
  // Without a listener the process goes on: that is logged, not thrown.
  // @param registry outlives the server; may be written by other threads.
  MetricsServer(asio::io_context& context,
                const asio::ip::tcp::endpoint& listen,
                prometheus::Registry& registry);

  // Null where nothing could be bound.
  const net::HttpServer* listener() const { return server_.get(); }

 private:
  net::HttpResponse Answer(const net::HttpRequest& request);
  // Copies what the log counts into the registry.
  void UpdateLogMetrics();

  prometheus::Registry& registry_;
  prometheus::Gauge& limited_lines_;
  prometheus::Gauge& unwritten_lines_;
  std::unique_ptr<net::HttpServer> server_;
};

}  // namespace juniperway::daemon
