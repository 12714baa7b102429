// The one file that includes RESTinio.
#include "common/net/http_server.h"

#include <algorithm>
#include <asio/post.hpp>
#include <cctype>
#include <exception>
#include <restinio/all.hpp>
#include <restinio/tls.hpp>
#include <unordered_map>
#include <utility>

#include "common/base/execution_state.h"
#include "common/base/text.h"
#include "common/logging/event_log.h"
#include "common/net/events.h"
#include "common/net/http_sockets.h"
#include "common/net/http_status.h"

namespace juniperway::net {
namespace {

using asio::ip::tcp;

// Requests read ahead on one connection. More than one, so that RESTinio keeps
// reading while a request is pending and thus sees the caller go away.
constexpr std::size_t kMaximumPipelinedRequests = 16;
constexpr std::size_t kReadBufferBytes = 4U << 10;
// Handlers keep their own deadlines; this only ends what they forgot.
constexpr std::chrono::hours kHandlerTimeout{24};
constexpr std::chrono::seconds kWriteTimeout{60};

// Marks the server's own instance of RESTinio's parser settings (see
// create_parser_settings below).
struct HttpMethods : public restinio::default_http_methods_t {};

}  // namespace
}  // namespace juniperway::net

namespace restinio::impl {

// RESTinio closes the connection without an answer when a body is larger than
// its limit. These callbacks keep the first limit + 1 bytes and drop the rest,
// so that the handler can answer 413 (the limit is a count of kept bytes).
template <>
inline http_parser_settings
create_parser_settings<juniperway::net::HttpMethods>() noexcept {
  http_parser_settings settings =
      create_parser_settings<default_http_methods_t>();
  settings.on_headers_complete = [](http_parser* parser) -> int {
    auto* context = static_cast<http_parser_ctx_t*>(parser->data);
    context->m_leading_headers_completed = true;
    return 0;
  };
  settings.on_body = [](http_parser* parser, const char* data,
                        std::size_t length) -> int {
    auto* context = static_cast<http_parser_ctx_t*>(parser->data);
    const std::size_t room =
        context->m_limits.max_body_size() - context->m_body.size();
    try {
      context->m_body.append(data, std::min(length, room));
    } catch (const std::exception&) {
      return -1;
    }
    return 0;
  };
  return settings;
}

}  // namespace restinio::impl

namespace juniperway::net {
namespace {

HttpResponse Refusal(ErrorCode code, std::string field, std::string message) {
  return ErrorResponse(HttpStatusOf(code),
                       Error{code, std::move(field), std::move(message)},
                       ExecutionStateName(ExecutionState::kNotRun));
}

// The handler may have acted before it failed.
HttpResponse InternalFault(std::string message) {
  return ErrorResponse(HttpStatusOf(ErrorCode::kInternal),
                       Error{ErrorCode::kInternal, "", std::move(message)},
                       ExecutionStateName(ExecutionState::kMayHaveRun));
}

class Responder;

// What the answers of one server share.
struct AnswerState {
  // Each answer that is not yet written holds a copy.
  std::shared_ptr<char> unwritten = std::make_shared<char>();
  bool close_after_answers = false;
};

// Which requests of which connection are waiting for their answer.
class PendingRequests {
 public:
  void Add(restinio::connection_id_t connection,
           const std::shared_ptr<Responder>& responder) {
    auto& responders = by_connection_[connection];
    std::erase_if(responders, [](const std::weak_ptr<Responder>& other) {
      return other.expired();
    });
    responders.push_back(responder);
  }

  void OnClosed(restinio::connection_id_t connection);

 private:
  std::unordered_map<restinio::connection_id_t,
                     std::vector<std::weak_ptr<Responder>>>
      by_connection_;
};

// Answers one RESTinio request.
class Responder : public HttpResponder,
                  public std::enable_shared_from_this<Responder> {
 public:
  Responder(asio::io_context* context, std::shared_ptr<AnswerState> answers,
            restinio::request_handle_t request)
      : context_(context),
        answers_(std::move(answers)),
        request_(std::move(request)) {}

  ~Responder() override {
    if (request_ && !caller_gone_) {
      SendNow(InternalFault("the request was dropped"), request_);
    }
  }

  void Send(HttpResponse response) override {
    if (!request_) {
      return;
    }
    on_caller_gone_ = nullptr;
    SendNow(std::move(response), std::exchange(request_, nullptr));
  }

  void OnClientGone(std::function<void()> listener) override {
    if (!request_) {
      return;
    }
    on_caller_gone_ = std::move(listener);
    if (caller_gone_) {
      NotifyCallerGone();
    }
  }

  void MarkCallerGone() {
    caller_gone_ = true;
    if (request_ && on_caller_gone_) {
      NotifyCallerGone();
    }
  }

 private:
  void NotifyCallerGone() {
    asio::post(*context_, [self = shared_from_this()] {
      const auto listener = std::exchange(self->on_caller_gone_, nullptr);
      if (listener) {
        listener();
      }
    });
  }

  void SendNow(HttpResponse response,
               const restinio::request_handle_t& request) const {
    auto builder = request->create_response(restinio::http_status_line_t(
        restinio::http_status_code_t(
            static_cast<std::uint16_t>(response.status)),
        std::string(ReasonPhrase(response.status))));
    for (auto& [name, value] : response.headers) {
      builder.header().add_field(std::move(name), std::move(value));
    }
    if (!response.body.empty() && !response.content_type.empty()) {
      builder.append_header(restinio::http_field::content_type,
                            std::move(response.content_type));
    }
    builder.set_body(std::move(response.body));
    if (answers_->close_after_answers || response.close) {
      builder.connection_close();
    }
    // Dropped when the answer was written or cannot be any more.
    builder.done([token = answers_->unwritten](const auto&) {});
  }

  asio::io_context* context_;
  std::shared_ptr<AnswerState> answers_;
  restinio::request_handle_t request_;
  std::function<void()> on_caller_gone_;
  bool caller_gone_ = false;
};

void PendingRequests::OnClosed(restinio::connection_id_t connection) {
  auto node = by_connection_.extract(connection);
  if (node.empty()) {
    return;
  }
  for (const std::weak_ptr<Responder>& weak_responder : node.mapped()) {
    if (const auto responder = weak_responder.lock()) {
      responder->MarkCallerGone();
    }
  }
}

// Tells PendingRequests which connections closed.
class ConnectionListener {
 public:
  using Observer = decltype(HttpServerOptions::connection_listener);

  ConnectionListener(std::shared_ptr<PendingRequests> pending,
                     Observer observer)
      : pending_(std::move(pending)), observer_(std::move(observer)) {}

  void state_changed(  // NOLINT: RESTinio's name
      const restinio::connection_state::notice_t& notice) noexcept {
    const bool closed =
        std::holds_alternative<restinio::connection_state::closed_t>(
            notice.cause());
    if (closed) {
      pending_->OnClosed(notice.connection_id());
    }
    if (observer_) {
      observer_(notice.remote_endpoint(), !closed);
    }
  }

 private:
  std::shared_ptr<PendingRequests> pending_;
  Observer observer_;
};

template <typename Socket>
struct ServerTraits
    : public restinio::traits_t<restinio::asio_timer_manager_t,
                                restinio::null_logger_t,
                                restinio::default_request_handler_t,
                                restinio::noop_strand_t, Socket> {
  using http_methods_mapper_t = HttpMethods;
  using connection_state_listener_t = ConnectionListener;
  static constexpr bool use_connection_count_limiter = true;
};

// RESTinio decodes "+" as a blank, which holds for a query string only.
std::string ProtectPlus(restinio::string_view_t path) {
  std::string result;
  for (const char character : path) {
    if (character == '+') {
      result += "%2B";
    } else {
      result += character;
    }
  }
  return result;
}

// Decodes the request target. @return false when it is malformed.
bool ReadTarget(const restinio::request_t& request, HttpRequest* result) {
  const auto& header = request.header();
  const auto path = restinio::utils::try_unescape_percent_encoding<
      restinio::utils::relaxed_unescape_traits>(ProtectPlus(header.path()));
  const auto query =
      restinio::try_parse_query<restinio::parse_query_traits::relaxed>(
          header.query());
  if (!path || !query) {
    return false;
  }
  result->path = *path;
  for (const auto& [name, value] : *query) {
    result->query.emplace(std::string(name), std::string(value));
  }
  return true;
}

void ReadHeaders(const restinio::request_t& request, HttpRequest* result) {
  request.header().for_each_field([result](const auto& field) {
    auto [entry, inserted] =
        result->headers.emplace(ToLower(field.name()), field.value());
    if (!inserted) {
      entry->second += ", " + field.value();
    }
    result->fields.emplace_back(field.name(), field.value());
  });
}

}  // namespace

struct HttpServer::Implementation {
  // What connections need, also after the server is gone.
  struct Shared {
    asio::io_context* context = nullptr;
    std::size_t maximum_body_bytes = 0;
    HttpHandler handler;
    std::shared_ptr<PendingRequests> pending =
        std::make_shared<PendingRequests>();
    std::shared_ptr<AnswerState> answers = std::make_shared<AnswerState>();
  };

  Implementation(asio::io_context& context, const HttpServerOptions& options,
                 HttpHandler handler)
      : io_context(context) {
    shared->context = &context;
    shared->maximum_body_bytes = options.maximum_body_bytes;
    shared->handler = std::move(handler);
    if (options.tls) {
      auto settings = MakeSettings<restinio::tls_socket_t>(options);
      settings.tls_context(MakeTlsContext(*options.tls));
      Open(std::move(settings));
    } else {
      Open(MakeSettings<RegisteredSocket>(options));
    }
  }

  template <typename Traits>
  void Open(restinio::server_settings_t<Traits> settings) {
    const auto server = std::make_shared<restinio::http_server_t<Traits>>(
        restinio::external_io_context(io_context), std::move(settings));
    server->open_sync();
    stop_accepting = [server] { server->close_sync(); };
  }

  template <typename Socket>
  restinio::server_settings_t<ServerTraits<Socket>> MakeSettings(
      const HttpServerOptions& options) {
    restinio::server_settings_t<ServerTraits<Socket>> settings;
    settings.port(options.endpoint.port())
        .protocol(options.endpoint.protocol())
        .address(options.endpoint.address())
        .buffer_size(kReadBufferBytes)
        .max_pipelined_requests(kMaximumPipelinedRequests)
        .max_parallel_connections(options.maximum_connections)
        .read_next_http_message_timelimit(options.idle_timeout)
        .handle_request_timeout(kHandlerTimeout)
        .write_http_response_timelimit(kWriteTimeout)
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t{}.max_body_size(
                options.maximum_body_bytes + 1))
        .connection_state_listener(std::make_shared<ConnectionListener>(
            shared->pending, options.connection_listener))
        .acceptor_post_bind_hook([this](tcp::acceptor& acceptor) {
          local_endpoint = acceptor.local_endpoint();
        })
        .socket_options_setter([](restinio::socket_options_t& socket_options) {
          socket_options.set_option(tcp::no_delay(true));
        })
        .request_handler(
            [shared = shared](const restinio::request_handle_t& request) {
              Handle(*shared, request);
              return restinio::request_accepted();
            });
    return settings;
  }

  static void Handle(const Shared& shared,
                     const restinio::request_handle_t& request) {
    auto responder =
        std::make_shared<Responder>(shared.context, shared.answers, request);
    shared.pending->Add(request->connection_id(), responder);
    if (request->body().size() > shared.maximum_body_bytes) {
      responder->Send(Refusal(ErrorCode::kTooLarge, "body",
                              "must be at most " +
                                  std::to_string(shared.maximum_body_bytes) +
                                  " bytes"));
      return;
    }
    HttpRequest plain;
    if (!ReadTarget(*request, &plain)) {
      responder->Send(Refusal(ErrorCode::kInvalidArgument, "path",
                              "must be a percent-encoded path and query"));
      return;
    }
    ReadHeaders(*request, &plain);
    plain.method = request->header().method().c_str();
    plain.target = request->header().request_target();
    plain.body = request->body();
    plain.remote = request->remote_endpoint();
    CallHandler(shared, plain, responder);
  }

  static void CallHandler(const Shared& shared, const HttpRequest& request,
                          const std::shared_ptr<Responder>& responder) {
    try {
      shared.handler(request, responder);
    } catch (const std::exception& failure) {
      logging::LogEvent(kHttpHandlerFailed,
                        {{"path", request.path}, {"reason", failure.what()}});
      responder->Send(InternalFault("internal fault"));
    }
  }

  asio::io_context& io_context;
  std::shared_ptr<Shared> shared = std::make_shared<Shared>();
  tcp::endpoint local_endpoint;
  // Keeps the server.
  std::function<void()> stop_accepting;
};

HttpServer::HttpServer(asio::io_context& context,
                       const HttpServerOptions& options, HttpHandler handler)
    : implementation_(std::make_unique<Implementation>(context, options,
                                                       std::move(handler))) {}

HttpServer::~HttpServer() { Close(); }

tcp::endpoint HttpServer::local_endpoint() const {
  return implementation_->local_endpoint;
}

void HttpServer::CloseAfterAnswers() {
  implementation_->shared->answers->close_after_answers = true;
}

std::size_t HttpServer::unwritten_answers() const {
  // The state itself holds one copy.
  return implementation_->shared->answers->unwritten.use_count() - 1;
}

void HttpServer::StopAccepting() { implementation_->stop_accepting(); }

void HttpServer::Close() {
  StopAccepting();
  asio::use_service<SocketRegistry>(implementation_->io_context)
      .ShutDown(implementation_->local_endpoint);
}

}  // namespace juniperway::net
