#include "common/session/rate_codec.h"

#include <memory>
#include <utility>

namespace juniperway::session {

void EncodeRateReport(const quota::RateReport& report,
                      protocol::HeartbeatT& heartbeat) {
  heartbeat.rates_complete = report.complete;
  for (const quota::RateRequest& request : report.requests) {
    auto record = std::make_unique<protocol::RateRequestRecordT>();
    record->key = request.key;
    record->is_pool = request.is_pool;
    record->held_grant = request.held_grant;
    record->held_rate = request.held_rate;
    record->held_stock = request.held_reserved_tokens;
    record->held_left_us = request.held_remaining.count();
    record->demand = request.demand;
    record->waiting = request.queued_requests;
    record->room = request.missing_reserve;
    record->returned = request.returned;
    heartbeat.rate_requests.push_back(std::move(record));
  }
}

quota::RateReport DecodeRateReport(const protocol::HeartbeatT& heartbeat) {
  quota::RateReport report;
  report.complete = heartbeat.rates_complete;
  for (const auto& record : heartbeat.rate_requests) {
    report.requests.push_back({.key = record->key,
                               .is_pool = record->is_pool,
                               .held_grant = record->held_grant,
                               .held_rate = record->held_rate,
                               .held_reserved_tokens = record->held_stock,
                               .held_remaining = Duration(record->held_left_us),
                               .demand = record->demand,
                               .queued_requests = record->waiting,
                               .missing_reserve = record->room,
                               .returned = record->returned});
  }
  return report;
}

RateGrantRecords EncodeRateGrants(const std::vector<quota::RateGrant>& grants) {
  RateGrantRecords records;
  for (const quota::RateGrant& grant : grants) {
    auto record = std::make_unique<protocol::RateGrantRecordT>();
    record->key = grant.key;
    record->number = grant.number;
    record->rate = grant.rate;
    record->stock = grant.reserved_tokens;
    record->lease_us = grant.lease.count();
    record->tokens = grant.tokens;
    record->wait_us = grant.wait.count();
    records.push_back(std::move(record));
  }
  return records;
}

std::vector<quota::RateGrant> DecodeRateGrants(
    const RateGrantRecords& records) {
  std::vector<quota::RateGrant> grants;
  grants.reserve(records.size());
  for (const auto& record : records) {
    grants.push_back({.key = record->key,
                      .number = record->number,
                      .rate = record->rate,
                      .reserved_tokens = record->stock,
                      .lease = Duration(record->lease_us),
                      .tokens = record->tokens,
                      .wait = Duration(record->wait_us)});
  }
  return grants;
}

}  // namespace juniperway::session
