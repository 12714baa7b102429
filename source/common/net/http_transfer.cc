#include "common/net/http_transfer.h"

#include <sys/socket.h>

#include <algorithm>
#include <string_view>

#include "common/base/text.h"
#include "common/net/address.h"
#include "common/net/chunked_body.h"

namespace juniperway::net {
namespace {

// Small: a process may have thousands of exchanges under way.
constexpr long kReceiveBufferBytes = 4096;
// libcurl bounds header fields by itself, but not trailers.
constexpr std::size_t kMaximumHeaderBytes = 256U << 10;

void Append(HeaderList* list, const std::string& line) {
  list->reset(curl_slist_append(list->release(), line.c_str()));
}

std::size_t OnBody(char* data, std::size_t size, std::size_t count,
                   void* user_data) {
  auto* transfer = static_cast<Transfer*>(user_data);
  std::string& body = transfer->response.body;
  BodyBudget& budget = *transfer->budget;
  const std::size_t bytes = size * count;
  if (body.size() + bytes > transfer->request.maximum_response_bytes ||
      budget.used + bytes > budget.maximum) {
    return 0;
  }
  budget.used += bytes;
  body.append(data, bytes);
  return bytes;
}

bool BelongsToAnother(const HttpClientRequest& request, std::string_view name,
                      std::string_view value) {
  return !request.echoed_header.empty() && value != request.echoed_value &&
         EqualsIgnoringCase(name, request.echoed_header);
}

// Whether the head that has just ended names no request though it has to.
bool LacksEcho(const Transfer& transfer) {
  const HttpClientRequest& request = transfer.request;
  const int status = transfer.message.status();
  const bool succeeds = status >= 200 && status < 300;
  const bool required =
      succeeds ? request.echo_required : request.echo_required_of_failures;
  return required && !request.echoed_header.empty() &&
         !transfer.response.headers.contains(ToLower(request.echoed_header));
}

void AddField(Transfer* transfer) {
  const FieldLine& field = transfer->message.field();
  if (BelongsToAnother(transfer->request, field.name, field.value)) {
    transfer->message.Reject(MessageFault::kOtherRequest);
    return;
  }
  transfer->response.headers[ToLower(field.name)] = field.value;
  transfer->response.fields.emplace_back(field.name, field.value);
}

std::size_t OnHeader(char* data, std::size_t size, std::size_t count,
                     void* user_data) {
  auto* transfer = static_cast<Transfer*>(user_data);
  const std::string_view line(data, size * count);
  transfer->header_bytes += line.size();
  if (transfer->header_bytes > kMaximumHeaderBytes) {
    return 0;
  }
  switch (transfer->message.AddLine(line)) {
    case LineKind::kField:
      AddField(transfer);
      break;
    case LineKind::kInterimEnd:
      // The fields of an interim answer do not belong to the final one.
      transfer->response.headers.clear();
      transfer->response.fields.clear();
      break;
    case LineKind::kHeadEnd:
      if (LacksEcho(*transfer)) {
        transfer->message.Reject(MessageFault::kNoRequest);
      }
      break;
    case LineKind::kStatusLine:
    case LineKind::kTrailer:
    case LineKind::kFaulty:
      break;
  }
  return transfer->message.fault() == MessageFault::kNone ? line.size() : 0;
}

// Called right before the request goes out on a connection. A second call means
// that a kept connection broke after the request was sent: libcurl repeats it
// then, but it may have been executed.
int OnBeforeSend(void* user_data, char*, char*, int, int) {
  auto* transfer = static_cast<Transfer*>(user_data);
  if (transfer->send_began) {
    transfer->repeat_refused = true;
    return CURL_PREREQFUNC_ABORT;
  }
  transfer->send_began = true;
  return CURL_PREREQFUNC_OK;
}

void SetMethodAndBody(Transfer* transfer) {
  CURL* easy = transfer->easy;
  const HttpClientRequest& request = transfer->request;
  if (!request.body.empty() || request.method == "POST") {
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
  }
  if (request.method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  } else if ((request.method != "GET" || !request.body.empty()) &&
             request.method != "POST") {
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  }
}

void SetHeaders(Transfer* transfer) {
  bool has_content_type = false;
  bool has_accept = false;
  for (const auto& [name, value] : transfer->request.headers) {
    std::string line = name;
    // libcurl's way to send a header without a value.
    line += value.empty() ? ";" : ": " + value;
    Append(&transfer->headers, line);
    has_content_type |= EqualsIgnoringCase(name, "content-type");
    has_accept |= EqualsIgnoringCase(name, "accept");
  }
  const bool only_given = transfer->request.only_given_headers;
  if (only_given && !has_accept) {
    Append(&transfer->headers, "Accept:");
  }
  if (!transfer->request.body.empty()) {
    if (!has_content_type) {
      Append(&transfer->headers,
             only_given ? "Content-Type:" : "Content-Type: application/json");
    }
    // Waiting for "100 Continue" would cost a round trip.
    Append(&transfer->headers, "Expect:");
  }
  curl_easy_setopt(transfer->easy, CURLOPT_HTTPHEADER, transfer->headers.get());
}

void SetTimeouts(Transfer* transfer) {
  CURL* easy = transfer->easy;
  const auto remaining = transfer->deadline - std::chrono::steady_clock::now();
  const auto rounded_up = std::chrono::ceil<milliseconds>(remaining).count();
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(std::max<std::int64_t>(1, rounded_up)));
  // 0: libcurl's own bound.
  curl_easy_setopt(
      easy, CURLOPT_CONNECTTIMEOUT_MS,
      static_cast<long>(ToMilliseconds(transfer->request.connect_timeout)));
}

void SetConnectionOptions(CURL* easy, seconds kept_idle) {
  if (kept_idle != HttpClient::kDefaultIdleTime) {
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
                     static_cast<long>(kept_idle.count()));
  }
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, kReceiveBufferBytes);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
                   static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  // An empty proxy also disables those named by the environment.
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  if (SourceAddress()) {
    const std::string interface = "host!" + SourceAddress()->to_string();
    curl_easy_setopt(easy, CURLOPT_INTERFACE, interface.c_str());
  }
}

void SetCallbackData(Transfer* transfer) {
  CURL* easy = transfer->easy;
  curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
}

// Whether the exchange ended because its new connection was refused or reset.
bool IsNewConnectionRefused(const Transfer& transfer, CURLcode result) {
  if (result == CURLE_COULDNT_CONNECT) {
    return true;
  }
  const bool reset = result == CURLE_RECV_ERROR || result == CURLE_SEND_ERROR;
  long opened = 0;
  curl_easy_getinfo(transfer.easy, CURLINFO_NUM_CONNECTS, &opened);
  return reset && opened > 0 && !transfer.repeat_refused &&
         transfer.header_bytes == 0;
}

// Whether the connection was lost while the peer had the request, and not given
// up by this side. libcurl opens another one where a kept connection was lost:
// it then reports what became of that.
bool IsConnectionLost(const Transfer& transfer, CURLcode result) {
  const bool lost = result == CURLE_RECV_ERROR || result == CURLE_SEND_ERROR ||
                    result == CURLE_GOT_NOTHING ||
                    result == CURLE_COULDNT_CONNECT || transfer.repeat_refused;
  return lost && transfer.response.progress == HttpProgress::kSent &&
         transfer.header_bytes == 0;
}

// Whether the connection ends with the answer, by what either side said.
bool EndsConnection(const Transfer& transfer) {
  const auto& headers = transfer.response.headers;
  const auto connection = headers.find("connection");
  const std::string options =
      connection == headers.end() ? "" : ToLower(connection->second);
  const bool keeps = transfer.message.is_version_1_0()
                         ? options.find("keep-alive") != std::string::npos
                         : options.find("close") == std::string::npos;
  return !keeps || !transfer.request.share_connection;
}

Followed IsFollowed(const Transfer& transfer) {
  curl_socket_t socket = CURL_SOCKET_BAD;
  curl_easy_getinfo(transfer.easy, CURLINFO_ACTIVESOCKET, &socket);
  if (socket == CURL_SOCKET_BAD) {
    // libcurl closes a connection on which it read more than the answer.
    return EndsConnection(transfer) ? Followed::kUnknown : Followed::kYes;
  }
  char byte = 0;
  const auto peeked =
      ::recv(socket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return peeked > 0 ? Followed::kYes : Followed::kNo;
}

// Replaces the chunks of the body by what they hold.
void DecodeBody(Transfer* transfer) {
  std::string& body = transfer->response.body;
  std::optional<std::string> decoded = DecodeChunked(body);
  if (!decoded) {
    transfer->message.Reject(MessageFault::kChunks);
    return;
  }
  transfer->budget->used -= body.size() - decoded->size();
  body = *std::move(decoded);
}

std::string ErrorText(const Transfer& transfer, CURLcode result) {
  if (transfer.repeat_refused) {
    return "the connection broke after the request was sent";
  }
  const MessageFault fault = transfer.message.fault();
  return fault == MessageFault::kNone ? curl_easy_strerror(result)
                                      : Describe(fault);
}

// Ends the message that libcurl takes for complete.
MessageFault EndMessage(Transfer* transfer) {
  const HttpClientResponse& response = transfer->response;
  if (transfer->message.framing() == BodyFraming::kChunked) {
    DecodeBody(transfer);
  }
  transfer->message.End(response.body, response.fields,
                        [transfer] { return IsFollowed(*transfer); });
  return transfer->message.fault();
}

}  // namespace

HttpProgress Transfer::Progress() const {
  if (!send_began) {
    return HttpProgress::kNotSent;
  }
  long sent_bytes = 0;
  curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
  return sent_bytes > 0 || repeat_refused ? HttpProgress::kSent
                                          : HttpProgress::kNotSent;
}

void ConfigureEasyHandle(CURL* easy, seconds kept_idle) {
  SetConnectionOptions(easy, kept_idle);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnBeforeSend);
  // libcurl still finds the end of the chunks; DecodeChunked checks them.
  curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
}

void PrepareTransfer(Transfer* transfer) {
  transfer->message = ResponseMessage(
      transfer->request.method != "HEAD",
      {transfer->request.echoed_header, transfer->request.echoed_value});
  const std::string& target = transfer->request.target;
  curl_easy_setopt(transfer->easy, CURLOPT_URL, transfer->request.url.c_str());
  curl_easy_setopt(transfer->easy, CURLOPT_REQUEST_TARGET,
                   target.empty() ? nullptr : target.c_str());
  if (!transfer->request.share_connection) {
    curl_easy_setopt(transfer->easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(transfer->easy, CURLOPT_FORBID_REUSE, 1L);
  }
  SetMethodAndBody(transfer);
  SetHeaders(transfer);
  SetTimeouts(transfer);
  SetCallbackData(transfer);
}

void FillResponse(Transfer* transfer, CURLcode result) {
  HttpClientResponse& response = transfer->response;
  const bool whole =
      result == CURLE_OK && EndMessage(transfer) == MessageFault::kNone;
  const ResponseMessage& message = transfer->message;
  response.received = {.status = message.status(),
                       .framing = message.framing(),
                       .body = response.body.size()};
  if (whole) {
    response.progress = HttpProgress::kAnswered;
    response.status = message.status();
    return;
  }
  response.progress = transfer->Progress();
  response.timed_out = result == CURLE_OPERATION_TIMEDOUT;
  response.new_connection_refused = IsNewConnectionRefused(*transfer, result);
  response.connection_lost = IsConnectionLost(*transfer, result);
  response.transport_error = ErrorText(*transfer, result);
}

}  // namespace juniperway::net
