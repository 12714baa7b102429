#include "common/net/http_client.h"

#include <curl/curl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <cstring>
#include <deque>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include "common/net/http_transfer.h"

namespace juniperway::net {
namespace {

// Idle connections kept over all hosts.
constexpr long kKeptConnections = 4096;

// Initializes libcurl once for the process.
void InitializeCurl() {
  static const CURLcode result = curl_global_init(CURL_GLOBAL_NOTHING);
  if (result != CURLE_OK) {
    throw std::runtime_error(std::string("libcurl: ") +
                             curl_easy_strerror(result));
  }
}

// "http://127.0.0.1:80" of "http://127.0.0.1:80/v1/search".
std::string HostOf(const std::string& url) {
  const std::size_t authority = url.find("://");
  const std::size_t begin =
      authority == std::string::npos ? 0 : authority + std::strlen("://");
  return url.substr(0, url.find('/', begin));
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
  };
  using WatchPointer = std::shared_ptr<Watch>;

  // Bounds the connections to one host. libcurl's own bound is not used: it
  // does not end transfers that time out while they wait for a connection.
  struct Host {
    std::size_t running = 0;
    std::deque<RequestHandle> queue;
  };

  Implementation(asio::io_context& io_context, std::size_t per_host,
                 seconds longest_idle, std::size_t maximum_body_bytes)
      : context(io_context),
        maximum_connections_per_host(per_host),
        kept_idle(longest_idle),
        budget{.used = 0, .maximum = maximum_body_bytes},
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
    self->RenewWatch(descriptor);
    return descriptor;
  }

  // libcurl closes a socket that is still connecting without a word, and the
  // number may be given out again before it takes its interest back. Then it
  // thinks that this interest is known already.
  void RenewWatch(curl_socket_t socket) {
    const auto found = watches.find(socket);
    if (found == watches.end()) {
      return;
    }
    const int wanted = found->second->wanted;
    RemoveWatch(socket);
    const WatchPointer watch = AddWatch(socket);
    if (watch != nullptr) {
      watch->wanted = wanted;
      Wait(socket, watch);
    }
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
      // Perhaps the last word about this socket: its number may be another's
      // from here on.
      self->RemoveWatch(socket);
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
    budget.used -= transfer->response.body.size();
    curl_multi_remove_handle(multi, easy);
    curl_easy_cleanup(easy);
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

  // A handle serves one transfer: libcurl 7.88 reads freed memory where a
  // handle is used again and the next head begins with a folded field.
  CURL* MakeEasyHandle() {
    CURL* easy = curl_easy_init();
    ConfigureEasyHandle(easy, kept_idle);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &OpenSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &CloseSocket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
    return easy;
  }

  RequestHandle Start(HttpClientRequest request, Callback callback) {
    auto owned = std::make_unique<Transfer>();
    Transfer* transfer = owned.get();
    transfer->handle = next_handle++;
    transfer->deadline = std::chrono::steady_clock::now() + request.timeout;
    transfer->request = std::move(request);
    transfer->callback = std::move(callback);
    transfer->budget = &budget;
    transfers.emplace(transfer->handle, std::move(owned));
    if (EnterHost(transfer)) {
      Begin(transfer);
    }
    return transfer->handle;
  }

  // Hands a transfer to libcurl.
  void Begin(Transfer* transfer) {
    transfer->easy = MakeEasyHandle();
    PrepareTransfer(transfer);
    curl_multi_add_handle(multi, transfer->easy);
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
  const seconds kept_idle;
  BodyBudget budget;
  asio::steady_timer timer;
  CURLM* multi = nullptr;
  bool stopped = false;
  bool timeout_posted = false;
  std::uint64_t timer_generation = 0;
  RequestHandle next_handle = 1;
  std::unordered_map<curl_socket_t, WatchPointer> watches;
  std::unordered_map<RequestHandle, std::unique_ptr<Transfer>> transfers;
  std::unordered_map<std::string, Host> hosts;
};

HttpClient::HttpClient(asio::io_context& context,
                       std::size_t maximum_connections_per_host,
                       seconds kept_idle, std::size_t maximum_body_bytes)
    : implementation_(std::make_shared<Implementation>(
          context, maximum_connections_per_host, kept_idle,
          maximum_body_bytes)) {}

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
