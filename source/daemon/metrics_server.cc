#include "daemon/metrics_server.h"

#include <prometheus/gauge.h>
#include <prometheus/text_serializer.h>

#include <exception>

#include "common/logging/event_log.h"
#include "common/net/address.h"
#include "daemon/events.h"

namespace juniperway::daemon {
namespace {

constexpr const char* kMetricsPath = "/metrics";
constexpr const char* kMetricsType = "text/plain; version=0.0.4";
constexpr int kStatusNotFound = 404;

prometheus::Family<prometheus::Gauge>& DroppedLinesFamily(
    prometheus::Registry& registry) {
  return prometheus::BuildGauge()
      .Name("juniperway_log_dropped_lines")
      .Help("Log lines not written since the start, by why")
      .Register(registry);
}

}  // namespace

MetricsServer::MetricsServer(asio::io_context& context,
                             const asio::ip::tcp::endpoint& listen,
                             prometheus::Registry& registry)
    : registry_(registry),
      limited_lines_(DroppedLinesFamily(registry).Add({{"reason", "limited"}})),
      unwritten_lines_(
          DroppedLinesFamily(registry).Add({{"reason", "unwritten"}})) {
  try {
    server_ = std::make_unique<net::HttpServer>(
        context,
        net::HttpServerOptions{.endpoint = listen, .connection_listener = {}},
        [this](const net::HttpRequest& request,
               const std::shared_ptr<net::HttpResponder>& responder) {
          responder->Send(Answer(request));
        });
  } catch (const std::exception& fault) {
    logging::LogEvent(
        kMetricsNotServed,
        {{"listen", net::FormatEndpoint(listen)}, {"reason", fault.what()}});
  }
}

net::HttpResponse MetricsServer::Answer(const net::HttpRequest& request) {
  net::HttpResponse response;
  if (request.method != "GET" || request.path != kMetricsPath) {
    response.status = kStatusNotFound;
    return response;
  }
  UpdateLogMetrics();
  response.content_type = kMetricsType;
  response.body = prometheus::TextSerializer().Serialize(registry_.Collect());
  return response;
}

void MetricsServer::UpdateLogMetrics() {
  const logging::DroppedLines dropped = logging::CountedDrops();
  limited_lines_.Set(static_cast<double>(dropped.limited));
  unwritten_lines_.Set(static_cast<double>(dropped.unwritten));
}

}  // namespace juniperway::daemon
