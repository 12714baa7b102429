#include "lab/soak/stand_ins.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "common/net/address.h"

namespace juniperway::lab {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;
constexpr std::uint32_t kSlots = 5;
constexpr Duration kUsualAnswer = milliseconds(5);
constexpr Duration kSlowAnswer = milliseconds(400);

asio::ip::tcp::endpoint AnyLoopbackPort() {
  return {asio::ip::address_v4::loopback(), 0};
}

}  // namespace

SoakBackend::SoakBackend(asio::io_context& context, SoakRecorder& recorder,
                         ProxyState& proxy, std::string id, std::string service,
                         std::string zone)
    : context_(context),
      recorder_(recorder),
      id_(std::move(id)),
      service_(std::move(service)),
      zone_(std::move(zone)),
      server_(context,
              {.endpoint = AnyLoopbackPort(), .connection_listener = {}},
              [this](const net::HttpRequest& request, const auto& responder) {
                Handle(request, responder);
              }),
      link_(context, proxy, id_, id_) {
  link_.SetTarget(server_.local_endpoint());
}

std::string SoakBackend::Describe() const {
  return json{{"id", id_},
              {"service", service_},
              {"address", net::FormatEndpoint(link_.endpoint())},
              {"zone", zone_},
              {"slots", kSlots},
              {"version", "v1"},
              {"warmup_left_ms", 0},
              {"state", draining ? "leaving" : "live"}}
      .dump();
}

void SoakBackend::Handle(const net::HttpRequest& request,
                         const std::shared_ptr<net::HttpResponder>& responder) {
  if (request.Header("x-expected-backend") != id_) {
    responder->Send({.status = kMisdirected, .headers = {}, .body = ""});
    return;
  }
  if (answering == SoakAnswering::kSheds) {
    net::HttpResponse refusal{
        .status = kUnavailable, .headers = {}, .body = ""};
    refusal.headers.emplace_back("X-Not-Run", "1");
    responder->Send(std::move(refusal));
    return;
  }
  const std::string request_id = request.Header("x-request-id").value_or("");
  recorder_.Add(SoakRun{.request_id = request_id,
                        .backend = id_,
                        .service = service_,
                        .zone = zone_,
                        .began = ReadMonotonicClock()});
  if (answering != SoakAnswering::kSilent) {
    const bool slow = answering == SoakAnswering::kSlowly;
    AnswerAfter(slow ? kSlowAnswer : kUsualAnswer, request_id, responder);
  }
}

void SoakBackend::AnswerAfter(
    Duration delay, const std::string& request_id,
    const std::shared_ptr<net::HttpResponder>& responder) {
  auto timer = std::make_shared<asio::steady_timer>(context_, delay);
  timer->async_wait([this, timer, request_id, responder](const auto& error) {
    if (!error) {
      responder->Send(Answer(request_id));
    }
  });
}

net::HttpResponse SoakBackend::Answer(const std::string& request_id) const {
  net::HttpResponse response;
  const bool foreign = answering == SoakAnswering::kForeignId;
  const std::string id = foreign ? "another-" + request_id : request_id;
  response.status = answering == SoakAnswering::kFails ? kServerError : kOk;
  response.headers = {{"X-Request-Id", id}, {"X-Signature", id_ + "/" + id}};
  response.content_type = "application/octet-stream";
  for (std::size_t i = 0; i < kSoakRecordsOfShard; ++i) {
    response.body += SoakRecord(service_, i);
  }
  return response;
}

SoakStandIns::SoakStandIns(SoakRecorder& recorder,
                           const std::vector<std::string>& services,
                           const std::vector<std::string>& zones,
                           std::uint64_t seed)
    : work_(context_.get_executor()) {
  proxy_.random.seed(seed);
  json machines = json::array();
  for (const std::string& service : services) {
    for (std::size_t zone = 0; zone < zones.size(); ++zone) {
      const std::string id = service + "-" + std::to_string(zone);
      backends_.push_back(std::make_unique<SoakBackend>(
          context_, recorder, proxy_, id, service, zones[zone]));
      // Nothing connects from these addresses: routers are its clients.
      machines.push_back({{"name", id},
                          {"address", "machine-of-" + id},
                          {"zone", zones[zone]},
                          {"region", "r"}});
    }
  }
  const auto set = proxy_.topology.SetMachines(
      {{"delays", {{"client_ms", 1}}}, {"machines", machines}});
  if (!set) {
    throw std::logic_error(FormatError(set.error()));
  }
  list_ = std::make_unique<net::HttpServer>(
      context_,
      net::HttpServerOptions{.endpoint = AnyLoopbackPort(),
                             .connection_listener = {}},
      [this](const net::HttpRequest&, const auto& responder) {
        responder->Send(List());
      });
  thread_ = std::thread([this] { context_.run(); });
}

SoakStandIns::~SoakStandIns() {
  work_.reset();
  context_.stop();
  thread_.join();
}

void SoakStandIns::Change(
    std::size_t backend,
    const std::function<void(SoakBackend& backend)>& change) {
  asio::post(context_,
             [this, backend, change] { change(*backends_.at(backend)); });
}

void SoakStandIns::SetFaults(const std::string& faults_json) {
  asio::post(context_, [this, faults_json] {
    const auto set = proxy_.topology.SetFaults(json::parse(faults_json));
    if (!set) {
      throw std::logic_error(FormatError(set.error()));
    }
    for (const auto& backend : backends_) {
      backend->link().Wake();
    }
  });
}

void SoakStandIns::SetListFailing(bool failing) {
  asio::post(context_, [this, failing] { list_failing_ = failing; });
}

std::string SoakStandIns::list_url() const {
  return "http://" + net::FormatEndpoint(list_->local_endpoint()) + "/list";
}

net::HttpResponse SoakStandIns::List() const {
  if (list_failing_) {
    return {.status = kUnavailable, .headers = {}, .body = ""};
  }
  json backends = json::array();
  for (const auto& backend : backends_) {
    backends.push_back(json::parse(backend->Describe()));
  }
  const json page = {{"backends", backends}, {"next_page", nullptr}};
  return {.status = kOk, .headers = {}, .body = page.dump()};
}

}  // namespace juniperway::lab
