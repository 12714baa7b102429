#include "common/control/rollout_record.h"

namespace juniperway::control {

protocol::RolloutRecordT EncodeRollout(const std::string& service,
                                       const rollout::Rollout& rollout) {
  protocol::RolloutRecordT record;
  record.service = service;
  record.number = rollout.number;
  record.target_version = rollout.target_version;
  record.replaced_versions.assign(rollout.replaced_versions.begin(),
                                  rollout.replaced_versions.end());
  record.ordered_us = rollout.ordered_at.time_since_epoch().count();
  record.duration_us = rollout.duration.count();
  record.state = static_cast<std::uint8_t>(rollout.state);
  record.phase = static_cast<std::uint8_t>(rollout.phase);
  record.share_permille = rollout.share_permille;
  record.revision = rollout.revision;
  record.change_id = rollout.change_id;
  record.reason = rollout.reason;
  record.base_share_permille = rollout.base_share_permille;
  record.phase_began_us = rollout.phase_began_at.time_since_epoch().count();
  record.answers_before_phase = rollout.answers_before_phase;
  return record;
}

rollout::Rollout DecodeRollout(const protocol::RolloutRecordT& record) {
  return {.number = record.number,
          .target_version = record.target_version,
          .replaced_versions = {record.replaced_versions.begin(),
                                record.replaced_versions.end()},
          .ordered_at = WallTime{Duration(record.ordered_us)},
          .duration = Duration(record.duration_us),
          .state = static_cast<rollout::RolloutState>(record.state),
          .phase = static_cast<rollout::RolloutPhase>(record.phase),
          .phase_began_at = WallTime{Duration(record.phase_began_us)},
          .answers_before_phase = record.answers_before_phase,
          .share_permille = record.share_permille,
          .base_share_permille = record.base_share_permille,
          .revision = record.revision,
          .change_id = record.change_id,
          .reason = record.reason};
}

}  // namespace juniperway::control
