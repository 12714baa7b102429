#include "lab/caller/workload.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace juniperway::lab {

Workload::Workload(WorkloadSettings settings)
    : settings_(std::move(settings)), random_(settings_.seed) {}

Duration Workload::DrawInterval() {
  std::exponential_distribution<double> interval(settings_.rate);
  constexpr double kMicrosecondsPerSecond = 1e6;
  return Duration(
      static_cast<Duration::rep>(interval(random_) * kMicrosecondsPerSecond));
}

Query Workload::DrawQuery(WallTime now) {
  const ServiceLoad& service = DrawService();
  Query query;
  query.id =
      fmt::format("{}-{}-{}", settings_.name, settings_.seed, next_number_++);
  query.service = service.service;
  query.deadline = service.deadline;
  query.repeatable = !Draw(service.non_repeatable_share);
  query.request_class = query.repeatable ? service.repeatable_class
                                         : service.non_repeatable_class;
  query.expiry = now + settings_.expiry;
  if (Draw(service.range_share)) {
    std::uniform_int_distribution<Key> key(0, kKeySpaceEnd - 1);
    const auto [begin, last] = std::minmax({key(random_), key(random_)});
    query.range = KeyRange{begin, last + 1};
  }
  std::uniform_int_distribution<std::uint32_t> term(0, kTermCount - 1);
  query.text = Draw(service.match_all_share) ? std::string(kMatchAll)
                                             : TermName(term(random_));
  return query;
}

const ServiceLoad& Workload::DrawService() {
  std::vector<double> weights;
  for (const ServiceLoad& service : settings_.services) {
    weights.push_back(service.weight);
  }
  std::discrete_distribution<std::size_t> choice(weights.begin(),
                                                 weights.end());
  return settings_.services[choice(random_)];
}

bool Workload::Draw(double probability) {
  return probability > 0 &&
         std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

}  // namespace juniperway::lab
