#include "common/net/http_client.h"

#include <curl/curl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <cctype>
#include <cstring>
#include <deque>
#include <stdexcept>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "common/net/address.h"

namespace juniperway::net {
namespace {

constexpr std::size_t kKeptEasyHandles = 256;
// Idle connections kept over all hosts.
constexpr long kKeptConnections = 4096;

// Initializes libcurl once for the process.
void InitializeCurl() {
  static const CURLcode result = curl_global_init(CURL_GLOBAL_ALL);
  if (result != CURLE_OK) {
    throw std::runtime_error(std::string("libcurl: ") +
                             curl_easy_strerror(result));
  }
}

struct SlistDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using HeaderList = std::unique_ptr<curl_slist, SlistDeleter>;

void Append(HeaderList* list, const std::string& line) {
  list->reset(curl_slist_append(list->release(), line.c_str()));
}

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char character) {
                   return static_cast<char>(std::tolower(character));
                 });
  return lower;
}

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

// "http://127.0.0.1:80" of "http://127.0.0.1:80/v1/search".
std::string HostOf(const std::string& url) {
  const std::size_t authority = url.find("://");
  const std::size_t begin =
      authority == std::string::npos ? 0 : authority + std::strlen("://");
  return url.substr(0, url.find('/', begin));
}

// One exchange, from Start to its callback.
struct Transfer {
  // Null while it waits for a connection.
  CURL* easy = nullptr;
  HttpClient::RequestHandle handle = 0;
  HttpClientRequest request;
  HttpClient::Callback callback;
  HeaderList headers;
  HttpClientResponse response;
  std::chrono::steady_clock::time_point deadline;
  std::string host;
  // Runs while it waits for a connection.
  std::optional<asio::steady_timer> queue_timer;
  // libcurl got as far as sending the request.
  bool send_began = false;
  // libcurl wanted to send again on another connection.
  bool repeat_refused = false;

  HttpProgress Progress() const {
    if (!send_began) {
      return HttpProgress::kNotSent;
    }
    long sent_bytes = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
    return sent_bytes > 0 || repeat_refused ? HttpProgress::kSent
                                            : HttpProgress::kNotSent;
  }
};

std::size_t OnBody(char* data, std::size_t size, std::size_t count,
                   void* user_data) {
  auto* transfer = static_cast<Transfer*>(user_data);
  std::string& body = transfer->response.body;
  if (body.size() + size * count > transfer->request.maximum_response_bytes) {
    return 0;
  }
  body.append(data, size * count);
  return size * count;
}

std::size_t OnHeader(char* data, std::size_t size, std::size_t count,
                     void* user_data) {
  auto* transfer = static_cast<Transfer*>(user_data);
  const std::string_view line(data, size * count);
  const std::size_t colon = line.find(':');
  if (line.starts_with("HTTP/")) {
    // Headers of an interim answer (1xx) do not belong to the final one.
    transfer->response.headers.clear();
  } else if (colon != std::string_view::npos) {
    transfer->response.headers[ToLower(line.substr(0, colon))] =
        Trim(line.substr(colon + 1));
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
  } else if (request.method != "GET" && request.method != "POST") {
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  }
}

void SetHeaders(Transfer* transfer) {
  bool has_content_type = false;
  for (const auto& [name, value] : transfer->request.headers) {
    std::string line = name;
    // libcurl's way to send a header without a value.
    line += value.empty() ? ";" : ": " + value;
    Append(&transfer->headers, line);
    has_content_type |= ToLower(name) == "content-type";
  }
  if (!transfer->request.body.empty()) {
    if (!has_content_type) {
      Append(&transfer->headers, "Content-Type: application/json");
    }
    // Waiting for "100 Continue" would cost a round trip.
    Append(&transfer->headers, "Expect:");
  }
  curl_easy_setopt(transfer->easy, CURLOPT_HTTPHEADER, transfer->headers.get());
}

void SetLimits(Transfer* transfer) {
  CURL* easy = transfer->easy;
  const auto remaining = transfer->deadline - std::chrono::steady_clock::now();
  const auto rounded_up = std::chrono::ceil<milliseconds>(remaining).count();
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(std::max<std::int64_t>(1, rounded_up)));
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
                   static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
  // An empty proxy also disables those named by the environment.
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  if (SourceAddress()) {
    const std::string interface = "host!" + SourceAddress()->to_string();
    curl_easy_setopt(easy, CURLOPT_INTERFACE, interface.c_str());
  }
}

void SetCallbacks(Transfer* transfer) {
  CURL* easy = transfer->easy;
  curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnBeforeSend);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
}

void FillResponse(Transfer* transfer, CURLcode result) {
  HttpClientResponse& response = transfer->response;
  if (result == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
    response.progress = HttpProgress::kAnswered;
    response.status = static_cast<int>(status);
    return;
  }
  response.progress = transfer->Progress();
  response.timed_out = result == CURLE_OPERATION_TIMEDOUT;
  response.transport_error = curl_easy_strerror(result);
  if (transfer->repeat_refused) {
    response.transport_error =
        "the connection broke after the request was sent";
  }
}

}  // namespace

struct HttpClient::Implementation
    : public std::enable_shared_from_this<HttpClient::Implementation> {
  // A socket of libcurl, watched through Asio.
  struct Watch {
    explicit Watch(asio::io_context& context) : descriptor(context) {}
    asio::posix::stream_descriptor descriptor;
    int wanted = CURL_POLL_NONE;
    bool waiting_to_read = false;
    bool waiting_to_write = false;
    // Opened by OpenSocket: lives until CloseSocket.
    bool own_socket = false;
  };
  using WatchPointer = std::shared_ptr<Watch>;

  // Bounds the connections to one host. libcurl's own bound is not used: it
  // does not end transfers that time out while they wait for a connection.
  struct Host {
    std::size_t running = 0;
    std::deque<RequestHandle> queue;
  };

  Implementation(asio::io_context& io_context, std::size_t per_host)
      : context(io_context),
        maximum_connections_per_host(per_host),
        timer(io_context) {
    InitializeCurl();
    multi = curl_multi_init();
    if (multi == nullptr) {
      throw std::runtime_error("libcurl: no multi handle");
    }
    curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &OnSocketInterest);
    curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &OnTimerInterest);
    curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi, CURLMOPT_PIPELINING,
                      static_cast<long>(CURLPIPE_NOTHING));
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, kKeptConnections);
  }

  // Called once, by the client's destructor: no handler does anything after.
  void Shutdown() {
    stopped = true;
    timer.cancel();
    for (auto& [handle, transfer] : transfers) {
      if (transfer->easy != nullptr) {
        curl_multi_remove_handle(multi, transfer->easy);
        curl_easy_cleanup(transfer->easy);
      }
    }
    transfers.clear();
    for (CURL* easy : kept_easy_handles) {
      curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(multi);
    watches.clear();
  }

  // ---- libcurl's sockets --------------------------------------------------

  static curl_socket_t OpenSocket(void* user_data, curlsocktype purpose,
                                  curl_sockaddr* address) {
    auto* self = static_cast<Implementation*>(user_data);
    if (purpose != CURLSOCKTYPE_IPCXN) {
      return CURL_SOCKET_BAD;
    }
    const int descriptor = ::socket(
        address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    if (descriptor < 0) {
      return CURL_SOCKET_BAD;
    }
    const WatchPointer watch = self->AddWatch(descriptor);
    if (watch == nullptr) {
      ::close(descriptor);
      return CURL_SOCKET_BAD;
    }
    watch->own_socket = true;
    return descriptor;
  }

  static int CloseSocket(void* user_data, curl_socket_t socket) {
    auto* self = static_cast<Implementation*>(user_data);
    self->RemoveWatch(socket);
    return ::close(socket);
  }

  WatchPointer AddWatch(curl_socket_t socket) {
    auto watch = std::make_shared<Watch>(context);
    std::error_code error;
    watch->descriptor.assign(socket, error);
    if (error) {
      return nullptr;
    }
    watches[socket] = watch;
    return watch;
  }

  // Lets go of the descriptor, which libcurl closes.
  void RemoveWatch(curl_socket_t socket) {
    const auto found = watches.find(socket);
    if (found == watches.end()) {
      return;
    }
    found->second->wanted = CURL_POLL_NONE;
    found->second->descriptor.release();
    watches.erase(found);
  }

  static int OnSocketInterest(CURL*, curl_socket_t socket, int what,
                              void* user_data, void*) {
    auto* self = static_cast<Implementation*>(user_data);
    const auto found = self->watches.find(socket);
    WatchPointer watch = found == self->watches.end() ? nullptr : found->second;
    if (what == CURL_POLL_REMOVE) {
      if (watch != nullptr && watch->own_socket) {
        watch->wanted = CURL_POLL_NONE;
      } else {
        self->RemoveWatch(socket);
      }
      return 0;
    }
    if (watch == nullptr) {
      watch = self->AddWatch(socket);
    }
    if (watch != nullptr) {
      watch->wanted = what;
      self->Wait(socket, watch);
    }
    return 0;
  }

  // Starts the waits that are wanted and not yet running.
  void Wait(curl_socket_t socket, const WatchPointer& watch) {
    if ((watch->wanted & CURL_POLL_IN) != 0 && !watch->waiting_to_read) {
      watch->waiting_to_read = true;
      watch->descriptor.async_wait(asio::posix::descriptor_base::wait_read,
                                   [self = shared_from_this(), socket,
                                    watch](const std::error_code& error) {
                                     watch->waiting_to_read = false;
                                     self->OnReady(socket, watch, CURL_POLL_IN,
                                                   CURL_CSELECT_IN, error);
                                   });
    }
    if ((watch->wanted & CURL_POLL_OUT) != 0 && !watch->waiting_to_write) {
      watch->waiting_to_write = true;
      watch->descriptor.async_wait(asio::posix::descriptor_base::wait_write,
                                   [self = shared_from_this(), socket,
                                    watch](const std::error_code& error) {
                                     watch->waiting_to_write = false;
                                     self->OnReady(socket, watch, CURL_POLL_OUT,
                                                   CURL_CSELECT_OUT, error);
                                   });
    }
  }

  void OnReady(curl_socket_t socket, const WatchPointer& watch, int interest,
               int event, const std::error_code& error) {
    if (stopped || error || (watch->wanted & interest) == 0) {
      return;
    }
    Drive(socket, event);
    // libcurl does not repeat an interest that stays the same.
    const auto found = watches.find(socket);
    if (!stopped && found != watches.end() && found->second == watch) {
      Wait(socket, watch);
    }
  }

  // ---- libcurl's timer ----------------------------------------------------

  static int OnTimerInterest(CURLM*, long timeout_ms, void* user_data) {
    auto* self = static_cast<Implementation*>(user_data);
    ++self->timer_generation;
    if (timeout_ms < 0) {
      self->timer.cancel();
    } else if (timeout_ms == 0) {
      self->PostTimeout();
    } else {
      self->StartTimer(milliseconds(timeout_ms));
    }
    return 0;
  }

  void PostTimeout() {
    if (timeout_posted) {
      return;
    }
    timeout_posted = true;
    asio::post(context, [self = shared_from_this()] {
      self->timeout_posted = false;
      if (!self->stopped) {
        self->Drive(CURL_SOCKET_TIMEOUT, 0);
      }
    });
  }

  void StartTimer(milliseconds delay) {
    timer.expires_after(delay);
    timer.async_wait([self = shared_from_this(), generation = timer_generation](
                         const std::error_code& error) {
      const bool current = generation == self->timer_generation;
      if (!error && current && !self->stopped) {
        self->Drive(CURL_SOCKET_TIMEOUT, 0);
      }
    });
  }

  // ---- exchanges ----------------------------------------------------------

  void Drive(curl_socket_t socket, int event) {
    int running_transfers = 0;
    curl_multi_socket_action(multi, socket, event, &running_transfers);
    RunCallbacks();
  }

  // Callbacks run after libcurl has returned: they may start and cancel.
  void RunCallbacks() {
    std::vector<std::unique_ptr<Transfer>> finished;
    int remaining = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi, &remaining)) {
      if (message->msg == CURLMSG_DONE) {
        CURL* easy = message->easy_handle;
        const CURLcode result = message->data.result;
        finished.push_back(Finish(easy, result));
      }
    }
    for (const auto& transfer : finished) {
      if (!stopped) {
        transfer->callback(std::move(transfer->response));
      }
    }
  }

  std::unique_ptr<Transfer> Finish(CURL* easy, CURLcode result) {
    Transfer* private_data = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &private_data);
    auto node = transfers.extract(private_data->handle);
    std::unique_ptr<Transfer> transfer = std::move(node.mapped());
    FillResponse(transfer.get(), result);
    End(transfer.get());
    return transfer;
  }

  // Takes a transfer off libcurl; its place goes to a waiting one.
  void End(Transfer* transfer) {
    CURL* easy = std::exchange(transfer->easy, nullptr);
    curl_multi_remove_handle(multi, easy);
    KeepEasyHandle(easy);
    if (maximum_connections_per_host > 0) {
      LeaveHost(transfer->host);
    }
  }

  void LeaveHost(const std::string& name) {
    const auto found = hosts.find(name);
    Host& host = found->second;
    --host.running;
    while (!host.queue.empty() && host.running < maximum_connections_per_host) {
      const auto waiting = transfers.find(host.queue.front());
      host.queue.pop_front();
      if (waiting != transfers.end()) {
        ++host.running;
        waiting->second->queue_timer.reset();
        Begin(waiting->second.get());
      }
    }
    if (host.running == 0) {
      hosts.erase(found);
    }
  }

  // @return false when the transfer has to wait for a connection.
  bool EnterHost(Transfer* transfer) {
    if (maximum_connections_per_host == 0) {
      return true;
    }
    transfer->host = HostOf(transfer->request.url);
    Host& host = hosts[transfer->host];
    if (host.running < maximum_connections_per_host) {
      ++host.running;
      return true;
    }
    host.queue.push_back(transfer->handle);
    transfer->queue_timer.emplace(context, transfer->deadline);
    transfer->queue_timer->async_wait(
        [self = shared_from_this(),
         handle = transfer->handle](const std::error_code& error) {
          if (!error && !self->stopped) {
            self->EndWaiting(handle);
          }
        });
    return false;
  }

  // The deadline of a transfer passed before it got a connection.
  void EndWaiting(RequestHandle handle) {
    const auto found = transfers.find(handle);
    if (found == transfers.end() || found->second->easy != nullptr) {
      return;
    }
    const std::unique_ptr<Transfer> transfer = std::move(found->second);
    transfers.erase(found);
    transfer->response.timed_out = true;
    transfer->response.transport_error = "no connection became free in time";
    transfer->callback(std::move(transfer->response));
  }

  CURL* TakeEasyHandle() {
    if (kept_easy_handles.empty()) {
      return curl_easy_init();
    }
    CURL* easy = kept_easy_handles.back();
    kept_easy_handles.pop_back();
    return easy;
  }

  void KeepEasyHandle(CURL* easy) {
    if (kept_easy_handles.size() >= kKeptEasyHandles) {
      curl_easy_cleanup(easy);
      return;
    }
    curl_easy_reset(easy);
    kept_easy_handles.push_back(easy);
  }

  RequestHandle Start(HttpClientRequest request, Callback callback) {
    auto owned = std::make_unique<Transfer>();
    Transfer* transfer = owned.get();
    transfer->handle = next_handle++;
    transfer->deadline = std::chrono::steady_clock::now() + request.timeout;
    transfer->request = std::move(request);
    transfer->callback = std::move(callback);
    transfers.emplace(transfer->handle, std::move(owned));
    if (EnterHost(transfer)) {
      Begin(transfer);
    }
    return transfer->handle;
  }

  // Hands a transfer to libcurl.
  void Begin(Transfer* transfer) {
    transfer->easy = TakeEasyHandle();
    CURL* easy = transfer->easy;
    curl_easy_setopt(easy, CURLOPT_URL, transfer->request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &OpenSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &CloseSocket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
    SetMethodAndBody(transfer);
    SetHeaders(transfer);
    SetLimits(transfer);
    SetCallbacks(transfer);
    curl_multi_add_handle(multi, easy);
  }

  std::optional<HttpProgress> Cancel(RequestHandle handle) {
    auto node = transfers.extract(handle);
    if (node.empty()) {
      return std::nullopt;
    }
    Transfer* transfer = node.mapped().get();
    if (transfer->easy == nullptr) {
      return HttpProgress::kNotSent;
    }
    const HttpProgress progress = transfer->Progress();
    End(transfer);
    return progress;
  }

  asio::io_context& context;
  const std::size_t maximum_connections_per_host;
  asio::steady_timer timer;
  CURLM* multi = nullptr;
  bool stopped = false;
  bool timeout_posted = false;
  std::uint64_t timer_generation = 0;
  RequestHandle next_handle = 1;
  std::unordered_map<curl_socket_t, WatchPointer> watches;
  std::unordered_map<RequestHandle, std::unique_ptr<Transfer>> transfers;
  std::unordered_map<std::string, Host> hosts;
  std::vector<CURL*> kept_easy_handles;
};

HttpClient::HttpClient(asio::io_context& context,
                       std::size_t maximum_connections_per_host)
    : implementation_(std::make_shared<Implementation>(
          context, maximum_connections_per_host)) {}

HttpClient::~HttpClient() { implementation_->Shutdown(); }

HttpClient::RequestHandle HttpClient::Start(HttpClientRequest request,
                                            Callback callback) {
  return implementation_->Start(std::move(request), std::move(callback));
}

std::optional<HttpProgress> HttpClient::Cancel(RequestHandle handle) {
  return implementation_->Cancel(handle);
}

std::size_t HttpClient::running() const {
  return implementation_->transfers.size();
}

}  // namespace juniperway::net
