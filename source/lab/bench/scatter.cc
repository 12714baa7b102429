#include "lab/bench/scatter.h"

#include <curl/curl.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/dataset.h"

namespace juniperway::lab {
namespace {

Duration ThreadCpu() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::duration_cast<Duration>(
      seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

class Scatter {
 public:
  Scatter(const StandInFleet& stand_ins, std::uint32_t concurrency)
      : fan_out_(stand_ins.shape().partitions),
        outstanding_(concurrency),
        epoll_(::epoll_create1(EPOLL_CLOEXEC)),
        multi_(curl_multi_init()) {
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &OnSocket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &OnTimer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS,
                      static_cast<long>(concurrency * fan_out_ * 2));
    for (std::uint32_t query = 0; query < concurrency; ++query) {
      for (std::uint32_t part = 0; part < fan_out_; ++part) {
        AddTransfer(stand_ins, query, part);
      }
    }
  }

  ~Scatter() {
    for (const auto& transfer : transfers_) {
      curl_multi_remove_handle(multi_, transfer->easy);
      curl_easy_cleanup(transfer->easy);
      curl_slist_free_all(transfer->headers);
    }
    curl_multi_cleanup(multi_);
    ::close(epoll_);
  }
  Scatter(const Scatter&) = delete;
  Scatter& operator=(const Scatter&) = delete;

  // Runs `count` queries to their end.
  void Run(std::uint32_t count) {
    left_ = count;
    running_ = 0;
    for (std::uint32_t query = 0; query < outstanding_.size(); ++query) {
      StartQuery(query);
    }
    while (running_ > 0) {
      std::array<epoll_event, 256> events{};
      const int ready =
          ::epoll_wait(epoll_, events.data(), static_cast<int>(events.size()),
                       static_cast<int>(timeout_ms_));
      int unused = 0;
      if (ready <= 0) {
        timeout_ms_ = -1;
        curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &unused);
      }
      for (int i = 0; i < ready; ++i) {
        const int action =
            ((events[i].events & EPOLLOUT) != 0U ? CURL_CSELECT_OUT : 0) |
            ((events[i].events & ~EPOLLOUT) != 0U ? CURL_CSELECT_IN : 0);
        curl_multi_socket_action(multi_, events[i].data.fd, action, &unused);
      }
      CollectFinished();
    }
  }

  std::uint64_t finished() const { return finished_; }
  std::uint64_t failed() const { return failed_; }

 private:
  struct Transfer {
    CURL* easy = nullptr;
    curl_slist* headers = nullptr;
    std::uint32_t query = 0;
    std::string body;
    std::string answer;
  };

  static std::size_t OnBody(char* data, std::size_t size, std::size_t count,
                            void* user_data) {
    static_cast<Transfer*>(user_data)->answer.append(data, size * count);
    return size * count;
  }

  static int OnSocket(CURL*, curl_socket_t socket, int what, void* user_data,
                      void* known) {
    auto* self = static_cast<Scatter*>(user_data);
    if (what == CURL_POLL_REMOVE) {
      ::epoll_ctl(self->epoll_, EPOLL_CTL_DEL, socket, nullptr);
      return 0;
    }
    epoll_event event{};
    event.events = ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) |
                   ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
    event.data.fd = socket;
    ::epoll_ctl(self->epoll_, known == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD,
                socket, &event);
    curl_multi_assign(self->multi_, socket, self);
    return 0;
  }

  static int OnTimer(CURLM*, long timeout_ms, void* user_data) {
    static_cast<Scatter*>(user_data)->timeout_ms_ = timeout_ms;
    return 0;
  }

  void AddTransfer(const StandInFleet& stand_ins, std::uint32_t query,
                   std::uint32_t part) {
    auto transfer = std::make_unique<Transfer>();
    transfer->query = query;
    const auto partition = EvenPartitions("shard-", fan_out_)[part];
    transfer->body = nlohmann::json{
        {"shard", partition.shard},
        {"index_version", 1},
        {"range",
         {{"begin", partition.range.begin}, {"end", partition.range.end}}},
        {"query", kMatchAll},
        {"limit",
         100001}}.dump();
    const std::string id = std::to_string(query) + "-" + std::to_string(part);
    const std::string lines[] = {"Content-Type: application/json",
                                 "Expect:", "X-Request-Id: scatter-" + id,
                                 "X-Attempt-Id: scatter-" + id,
                                 "X-Deadline-Ms: 4999.000"};
    for (const std::string& line : lines) {
      transfer->headers = curl_slist_append(transfer->headers, line.c_str());
    }
    CURL* easy = curl_easy_init();
    transfer->easy = easy;
    const std::string url =
        "http://" +
        stand_ins.addresses().at(StandInFleet::BackendName(part, 0)) +
        "/v1/search";
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(transfer->body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer->body.data());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer.get());
    transfers_.push_back(std::move(transfer));
  }

  void StartQuery(std::uint32_t query) {
    if (left_ == 0) {
      return;
    }
    --left_;
    ++running_;
    outstanding_[query] = fan_out_;
    for (std::uint32_t part = 0; part < fan_out_; ++part) {
      Transfer& transfer = *transfers_[query * fan_out_ + part];
      transfer.answer.clear();
      curl_multi_add_handle(multi_, transfer.easy);
    }
  }

  void CollectFinished() {
    int remaining = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_, &remaining)) {
      CURL* easy = message->easy_handle;
      Transfer* transfer = nullptr;
      long status = 0;
      curl_easy_getinfo(easy, CURLINFO_PRIVATE, &transfer);
      curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
      curl_multi_remove_handle(multi_, easy);
      ++finished_;
      failed_ += status == 200 ? 0 : 1;
      if (--outstanding_[transfer->query] == 0) {
        --running_;
        StartQuery(transfer->query);
      }
    }
  }

  std::uint32_t fan_out_;
  // By query: subqueries without an answer.
  std::vector<std::uint32_t> outstanding_;
  int epoll_;
  CURLM* multi_;
  long timeout_ms_ = -1;
  std::vector<std::unique_ptr<Transfer>> transfers_;
  std::uint32_t left_ = 0;
  std::uint32_t running_ = 0;
  std::uint64_t finished_ = 0;
  std::uint64_t failed_ = 0;
};

}  // namespace

ScatterResult RunScatter(const StandInFleet& stand_ins, std::uint32_t count,
                         std::uint32_t concurrency) {
  curl_global_init(CURL_GLOBAL_ALL);
  Scatter scatter(stand_ins, concurrency);
  scatter.Run(2 * concurrency);
  const std::uint64_t before = scatter.finished();
  const std::uint64_t failed_before = scatter.failed();
  const Duration cpu = ThreadCpu();
  const MonotonicTime start = ReadMonotonicClock();
  scatter.Run(count);
  return {ThreadCpu() - cpu, ReadMonotonicClock() - start,
          scatter.finished() - before, scatter.failed() - failed_before};
}

}  // namespace juniperway::lab
