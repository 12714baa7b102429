#include "common/net/http_transfer.h"

#include <algorithm>
#include <cctype>
#include <string_view>

#include "common/base/text.h"
#include "common/net/address.h"

namespace juniperway::net {
namespace {

// Small: a process may have thousands of exchanges under way.
constexpr long kReceiveBufferBytes = 4096;
// libcurl bounds header fields by itself, but not trailers.
constexpr std::size_t kMaximumHeaderBytes = 256U << 10;

void Append(HeaderList* list, const std::string& line) {
  list->reset(curl_slist_append(list->release(), line.c_str()));
}

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
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

// Whether the headers that have just ended are those of a successful answer
// which names no request though it has to.
bool LacksEcho(const Transfer& transfer) {
  if (!transfer.request.echo_required ||
      transfer.request.echoed_header.empty() ||
      transfer.response.headers.contains(
          ToLower(transfer.request.echoed_header))) {
    return false;
  }
  long status = 0;
  curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &status);
  return status >= 200 && status < 300;
}

std::size_t OnHeader(char* data, std::size_t size, std::size_t count,
                     void* user_data) {
  auto* transfer = static_cast<Transfer*>(user_data);
  const std::string_view line(data, size * count);
  transfer->header_bytes += line.size();
  transfer->message.AddLine(line);
  if (transfer->header_bytes > kMaximumHeaderBytes) {
    return 0;
  }
  const std::size_t colon = line.find(':');
  if (line.starts_with("HTTP/")) {
    // Headers of an interim answer (1xx) do not belong to the final one.
    transfer->response.headers.clear();
    transfer->response.fields.clear();
  } else if (Trim(line).empty()) {
    if (LacksEcho(*transfer)) {
      return 0;
    }
  } else if (colon != std::string_view::npos) {
    const std::string name = ToLower(line.substr(0, colon));
    const std::string_view value = Trim(line.substr(colon + 1));
    if (BelongsToAnother(transfer->request, name, value)) {
      return 0;
    }
    transfer->response.headers[name] = value;
    transfer->response.fields.emplace_back(line.substr(0, colon), value);
  }
  return size * count;
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
         transfer.response.fields.empty();
}

// Whether the connection was lost while the peer had the request, and not given
// up by this side. libcurl opens another one where a kept connection was lost:
// it then reports what became of that.
bool IsConnectionLost(const Transfer& transfer, CURLcode result) {
  const bool lost = result == CURLE_RECV_ERROR || result == CURLE_SEND_ERROR ||
                    result == CURLE_GOT_NOTHING ||
                    result == CURLE_COULDNT_CONNECT || transfer.repeat_refused;
  return lost && transfer.response.progress == HttpProgress::kSent &&
         transfer.response.fields.empty();
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
}

void PrepareTransfer(Transfer* transfer) {
  transfer->message = ResponseMessage(transfer->request.method != "HEAD",
                                      transfer->request.echoed_header);
  const std::string& target = transfer->request.target;
  curl_easy_setopt(transfer->easy, CURLOPT_URL, transfer->request.url.c_str());
  curl_easy_setopt(transfer->easy, CURLOPT_REQUEST_TARGET,
                   target.empty() ? nullptr : target.c_str());
  SetMethodAndBody(transfer);
  SetHeaders(transfer);
  SetTimeouts(transfer);
  SetCallbackData(transfer);
}

void FillResponse(Transfer* transfer, CURLcode result) {
  HttpClientResponse& response = transfer->response;
  response.received = {.status = transfer->message.status(),
                       .framing = transfer->message.framing(),
                       .body = response.body.size()};
  if (result == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
    response.progress = HttpProgress::kAnswered;
    response.status = static_cast<int>(status);
    return;
  }
  response.progress = transfer->Progress();
  response.timed_out = result == CURLE_OPERATION_TIMEDOUT;
  response.new_connection_refused = IsNewConnectionRefused(*transfer, result);
  response.connection_lost = IsConnectionLost(*transfer, result);
  response.transport_error = curl_easy_strerror(result);
  if (transfer->repeat_refused) {
    response.transport_error =
        "the connection broke after the request was sent";
  }
}

}  // namespace juniperway::net
