#include "common/control/claim_store.h"

#include <utility>

namespace juniperway::control {

session::ClaimReply ClaimStore::Claim(const protocol::ClaimRequestT& request,
                                      WallTime now) {
  const WallTime expiry{Duration(request.expiry_us)};
  if (expiry <= now) {
    return {session::ClaimDecision::kExpired, std::nullopt};
  }
  auto [claim, inserted] = claims_.try_emplace(
      {request.service, request.request_id}, Entry{.expiry = expiry,
                                                   .claimant = request.claimant,
                                                   .attempt = request.attempt,
                                                   .outcome = std::nullopt});
  Entry& entry = claim->second;
  if (inserted) {
    Schedule(claim);
    return {session::ClaimDecision::kGranted, std::nullopt};
  }
  if (expiry > entry.expiry) {
    // A client that resends with a later expiry may retry until that expiry, so
    // the store must keep the claim as long.
    entry.expiry = expiry;
    Schedule(claim);
  }
  if (entry.claimant == request.claimant && entry.attempt == request.attempt) {
    return {session::ClaimDecision::kGranted, std::nullopt};
  }
  return {session::ClaimDecision::kAlreadyClaimed, entry.outcome};
}

void ClaimStore::RecordOutcome(const protocol::RecordOutcomeT& record) {
  auto claim = claims_.find({record.service, record.request_id});
  if (claim == claims_.end() || claim->second.claimant != record.claimant ||
      claim->second.outcome) {
    return;
  }
  claim->second.outcome = static_cast<ExecutionState>(record.outcome);
}

void ClaimStore::Expire(WallTime now) {
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    auto claim = claims_.find(expiries_.begin()->second);
    if (claim != claims_.end() && claim->second.expiry <= now) {
      claims_.erase(claim);
    }
    expiries_.erase(expiries_.begin());
  }
}

std::vector<protocol::ClaimRecordT> ClaimStore::Encode() const {
  std::vector<protocol::ClaimRecordT> records;
  records.reserve(claims_.size());
  for (const auto& [key, entry] : claims_) {
    protocol::ClaimRecordT& record = records.emplace_back();
    record.service = key.service;
    record.request_id = key.request_id;
    record.expiry_us = entry.expiry.time_since_epoch().count();
    record.claimant = entry.claimant;
    record.attempt = entry.attempt;
    record.has_outcome = entry.outcome.has_value();
    record.outcome = static_cast<std::uint8_t>(
        entry.outcome.value_or(ExecutionState::kMayHaveRun));
  }
  return records;
}

void ClaimStore::Insert(const protocol::ClaimRecordT& record) {
  Entry entry;
  entry.expiry = WallTime{Duration(record.expiry_us)};
  entry.claimant = record.claimant;
  entry.attempt = record.attempt;
  if (record.has_outcome) {
    entry.outcome = static_cast<ExecutionState>(record.outcome);
  }
  auto [claim, inserted] = claims_.insert_or_assign(
      {record.service, record.request_id}, std::move(entry));
  Schedule(claim);
}

void ClaimStore::Schedule(Claims::const_iterator claim) {
  expiries_.emplace(claim->second.expiry, claim->first);
}

}  // namespace juniperway::control
