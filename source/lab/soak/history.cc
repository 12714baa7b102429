#include "lab/soak/history.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace juniperway::lab {
namespace {

constexpr int kOk = 200;
// Statuses that promise that nothing ran and nothing will.
const std::set<int> kRefusals = {408, 421, 429, 503};

// "s1-2/request-7"
std::string BackendOf(const std::string& signature) {
  return signature.substr(0, signature.find('/'));
}
std::string RequestOf(const std::string& signature) {
  const std::size_t slash = signature.find('/');
  return slash == std::string::npos ? "" : signature.substr(slash + 1);
}
// Back ends are named after their service: "s1-2".
std::string ServiceOf(const std::string& backend) {
  return backend.substr(0, backend.find('-'));
}

std::string TopRecords(const std::set<std::string>& services) {
  std::vector<std::string> records;
  for (const std::string& service : services) {
    for (std::size_t i = 0; i < kSoakRecordsOfShard; ++i) {
      records.push_back(SoakRecord(service, i));
    }
  }
  std::ranges::sort(records, std::greater<>());
  std::string body;
  for (std::size_t i = 0; i < std::min(records.size(), kSoakTopK); ++i) {
    body += records[i];
  }
  return body;
}

class Checker {
 public:
  explicit Checker(const SoakHistory& history) : history_(history) {
    for (const SoakRun& run : history.runs) {
      ++runs_[run.request_id];
    }
  }

  std::vector<std::string> Check() {
    for (const SoakExchange& exchange : history_.exchanges) {
      CheckExchange(exchange);
    }
    CheckRuns();
    CheckRegress();
    CheckReads();
    CheckZonesReads();
    CheckQuietTimes();
    return std::move(broken_);
  }

 private:
  template <typename... Values>
  void Break(fmt::format_string<Values...> format, Values&&... values) {
    broken_.push_back(fmt::format(format, std::forward<Values>(values)...));
  }

  int RunsOf(const std::string& request_id) const {
    const auto found = runs_.find(request_id);
    return found == runs_.end() ? 0 : found->second;
  }

  void CheckExchange(const SoakExchange& exchange) {
    const int runs = RunsOf(exchange.request_id);
    if (exchange.kind == SoakRequestKind::kOnce && runs > 1) {
      Break("request {} ran {} times", exchange.request_id, runs);
    }
    if (kRefusals.contains(exchange.status) && runs > 0) {
      Break("request {} was refused with {} and ran {} times",
            exchange.request_id, exchange.status, runs);
    }
    if (exchange.status != kOk) {
      return;
    }
    for (const std::string& signature : exchange.signatures) {
      if (RequestOf(signature) != exchange.request_id) {
        Break("request {} got the answer {}", exchange.request_id, signature);
      }
    }
    if (exchange.kind == SoakRequestKind::kScatter) {
      CheckScatter(exchange);
    } else {
      CheckSingle(exchange);
    }
  }

  void CheckSingle(const SoakExchange& exchange) {
    if (exchange.signatures.size() != 1) {
      Break("request {} got {} signatures", exchange.request_id,
            exchange.signatures.size());
      return;
    }
    const std::string service =
        ServiceOf(BackendOf(exchange.signatures.front()));
    std::string whole;
    for (std::size_t i = 0; i < kSoakRecordsOfShard; ++i) {
      whole += SoakRecord(service, i);
    }
    if (exchange.body != whole) {
      Break("request {} got {} bytes that are not its back end's",
            exchange.request_id, exchange.body.size());
    }
  }

  void CheckScatter(const SoakExchange& exchange) {
    std::set<std::string> services;
    for (const std::string& signature : exchange.signatures) {
      if (!services.insert(ServiceOf(BackendOf(signature))).second) {
        Break("request {} has two parts of one shard", exchange.request_id);
      }
    }
    const bool known =
        std::ranges::any_of(history_.writes, [&](const SoakWrite& write) {
          return write.shards.size() == services.size() + exchange.missing &&
                 std::ranges::includes(write.shards, services);
        });
    if (!known) {
      Break("request {}: {} parts and {} missing are no table's shards",
            exchange.request_id, services.size(), exchange.missing);
    }
    if (exchange.body != TopRecords(services)) {
      Break("request {} has other records than its parts", exchange.request_id);
    }
  }

  void CheckRuns() {
    std::set<std::string> sent;
    for (const SoakExchange& exchange : history_.exchanges) {
      sent.insert(exchange.request_id);
    }
    for (const SoakRun& run : history_.runs) {
      if (!sent.contains(run.request_id)) {
        Break("back end {} ran {}, which nobody sent", run.backend,
              run.request_id);
      }
    }
  }

  // Within one life, a router never serves by an older table than before.
  void CheckRegress() {
    std::map<std::pair<std::string, std::uint64_t>,
             std::vector<const SoakExchange*>>
        lives;
    for (const SoakExchange& exchange : history_.exchanges) {
      if (exchange.kind == SoakRequestKind::kVersion &&
          exchange.status == kOk) {
        lives[{exchange.router, exchange.life}].push_back(&exchange);
      }
    }
    for (auto& [life, served] : lives) {
      std::ranges::sort(served, {}, &SoakExchange::ended);
      for (const SoakExchange* later : served) {
        CheckLater(*later, served);
      }
    }
  }

  void CheckLater(const SoakExchange& later,
                  const std::vector<const SoakExchange*>& served) {
    // The table in use had at least version `earlier`, and now has at most
    // `later` with the versions that still name it.
    for (const SoakExchange* earlier : served) {
      if (earlier->ended >= later.sent) {
        return;
      }
      if (later.version + kSoakNamedVersions <= earlier->version) {
        Break("router {} served version {} after version {}", later.router,
              later.version, earlier->version);
      }
    }
  }

  void CheckReads() {
    std::map<std::uint64_t, std::set<std::string>> sent;
    for (const SoakWrite& write : history_.writes) {
      sent[write.version].insert(write.table);
    }
    std::map<std::uint64_t, std::string> held;
    for (const SoakRead& read : history_.reads) {
      if (!sent[read.version].contains(read.table)) {
        Break("version {} was read back as nobody sent it", read.version);
      }
      const auto [entry, is_new] = held.emplace(read.version, read.table);
      if (!is_new && entry->second != read.table) {
        Break("version {} was read back with two contents", read.version);
      }
      CheckRead(read);
    }
  }

  void CheckRead(const SoakRead& read) {
    for (const SoakWrite& write : history_.writes) {
      if (write.acknowledged && *write.acknowledged < read.sent &&
          write.version > read.version) {
        Break("version {} was read after version {} was acknowledged",
              read.version, write.version);
        return;
      }
    }
  }

  // The latest order on a zone that was sent before `read` ended, by zone.
  std::map<std::string, SoakZoneOrder> OrdersBefore(
      const SoakZonesRead& read) const {
    std::map<std::string, SoakZoneOrder> latest;
    for (const SoakZoneOrder& order : history_.zone_orders) {
      if (order.sent < read.ended) {
        latest[order.zone] = order;
      }
    }
    return latest;
  }

  void CheckZonesReads() {
    for (const SoakZonesRead& read : history_.zones_reads) {
      for (const auto& [zone, order] : OrdersBefore(read)) {
        const bool holds =
            order.acknowledged && *order.acknowledged < read.sent;
        if (holds && read.evacuated.contains(zone) != order.evacuated) {
          Break("zone {} was {} after it was acknowledged that it {}", zone,
                order.evacuated ? "in use" : "evacuated",
                order.evacuated ? "is evacuated" : "is in use");
        }
      }
    }
  }

  void CheckQuietTimes() {
    for (const SoakQuietTime& quiet : history_.quiet_times) {
      for (const SoakRun& run : history_.runs) {
        if (run.zone == quiet.zone && run.began > quiet.began &&
            run.began < quiet.ended) {
          Break("back end {} ran {} while zone {} was evacuated", run.backend,
                run.request_id, run.zone);
        }
      }
    }
  }

  const SoakHistory& history_;
  std::map<std::string, int> runs_;
  std::vector<std::string> broken_;
};

}  // namespace

std::string SoakRecord(const std::string& service, std::size_t index) {
  return fmt::format("{:>8}{:08}", service, index);
}

std::vector<std::string> CheckSoak(const SoakHistory& history) {
  return Checker(history).Check();
}

}  // namespace juniperway::lab
