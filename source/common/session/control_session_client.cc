#include "common/session/control_session_client.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <stdexcept>
#include <utility>

#include "common/base/random_seed.h"
#include "common/logging/event_log.h"
#include "common/net/address.h"
#include "common/net/frame_connection.h"
#include "common/quota/rate_limit.h"
#include "common/session/answer_report_codec.h"
#include "common/session/control_endpoints.h"
#include "common/session/control_frames.h"
#include "common/session/events.h"
#include "common/session/fleet_codec.h"
#include "common/session/heartbeat_codec.h"
#include "common/session/observation_codec.h"
#include "common/session/operation_queue.h"
#include "common/session/rate_codec.h"
#include "common/session/session_link.h"
#include "common/session/session_operations.h"
#include "common/session/update_frame.h"
#include "common/session/view_keeper.h"

namespace juniperway::session {
namespace {

using logging::LogEvent;

// Pause before a call that control could not take is sent again.
constexpr Duration kCallRetryDelay = milliseconds(100);
// A goodbye is small: once the socket took it the kernel delivers it.
constexpr Duration kGoodbyePollInterval = milliseconds(5);

const char* DescribeReason(DisconnectReason reason) {
  switch (reason) {
    case DisconnectReason::kUnresponsive:
      return "silent or without a lease";
    case DisconnectReason::kNoUpdates:
      return "no updates, although the leader's state is newer";
  }
  return "unknown";
}

}  // namespace

class ControlSessionClient::Implementation
    : public std::enable_shared_from_this<Implementation> {
 public:
  Implementation(asio::io_context& context, const SessionOptions& options)
      : context_(context),
        options_(options),
        timer_(context),
        endpoints_(options.control_endpoints) {
    keeper_ = std::make_shared<ViewKeeper>(
        context, options, [this](const FleetViewPointer& view) {
          const auto alive = shared_from_this();
          OnTaken(view);
        });
    operations_ = std::make_unique<SessionOperations>(
        options_.daemon_id, keeper_->record().incarnation,
        [this] { SchedulePump(); });
    link_ = std::make_shared<SessionLink>(context, LinkPorts());
    state_ = std::make_unique<SessionState>(
        options.timing, endpoints_.size(), keeper_->record().revision,
        options.seed != 0 ? options.seed : DrawRandomSeed());
  }

  void Start() {
    state_->Start(Now());
    SchedulePump();
  }

  // Nothing runs after this; pending callbacks are dropped.
  void Close() {
    closed_ = true;
    timer_.cancel();
    DropConnection();
    link_->Close();
    view_listener_ = nullptr;
    progress_listener_ = nullptr;
    keeper_->Close();
  }

  void Goodbye(Duration timeout, std::function<void()> done) {
    goodbye_said_ = true;
    if (link_->connection() && state_->connected()) {
      SendMessage(*link_->connection(), protocol::SessionGoodbyeT{});
    }
    WaitUntilSent(Now() + timeout, std::move(done));
  }

  void AddControlEndpoints(const std::vector<std::string>& addresses) {
    for (const std::string& address : addresses) {
      if (endpoints_.Add(address)) {
        state_->AddEndpoint();
      }
    }
  }

  // Of machines that are known.
  void SetControlPlaces(
      const std::vector<std::unique_ptr<protocol::ControlPlaceT>>& places) {
    const Place own{options_.zone, options_.region};
    for (const auto& place : places) {
      if (const auto endpoint = endpoints_.Find(place->address)) {
        state_->SetLocality(*endpoint,
                            LocalityBetween(own, {place->zone, place->region}),
                            Now());
      }
    }
    state_->MoveBeforeFirstView(Now());
  }

  void SetPeerAddress(const std::string& address) {
    options_.peer_address = address;
  }

  std::uint64_t incarnation() const { return keeper_->record().incarnation; }
  FleetViewPointer view() const { return keeper_->view(); }
  const SessionState& state() const { return *state_; }
  std::string ControlAddress() const {
    const net::FrameConnection* connection = link_->connection();
    return connection == nullptr || !state_->connected()
               ? ""
               : net::FormatEndpoint(connection->remote_endpoint());
  }
  Counters TotalCounters() const {
    Counters total = counters_;
    total.sent_bytes = link_->sent_bytes();
    total.received_bytes = link_->received_bytes();
    return total;
  }

  void SetViewListener(ViewListener listener) {
    view_listener_ = std::move(listener);
  }
  void SetProgressListener(std::function<void()> listener) {
    progress_listener_ = std::move(listener);
  }

  void ReportReleased(resources::Revision revision) {
    state_->OnReleased(revision);
    SchedulePump();
  }

  void SetRatePorts(RatePorts ports) { rate_ports_ = std::move(ports); }
  void SetAnswerReportPorts(AnswerReportPorts ports) {
    answer_ports_ = std::move(ports);
  }
  void SendReportSoon() {
    state_->WantHeartbeat();
    SchedulePump();
  }

  void SetObservationListener(ObservationListener listener) {
    observation_listener_ = std::move(listener);
  }
  void SendObservations(const observation::BackendObservations& observations) {
    if (link_->connection() && state_->connected()) {
      SendMessage(*link_->connection(), EncodeObservations(observations));
    }
  }

  void ReportCrash(const CrashReport& report) {
    operations_->ReportCrash(report);
  }

  void ReportBackend(const std::string& backend, const BackendReport& report) {
    operations_->ReportBackend(backend, report);
  }

  void Claim(const ClaimKey& key, WallTime expiry, Duration timeout,
             ClaimCallback callback) {
    operations_->Claim(key, expiry, timeout, std::move(callback));
  }

  void RecordOutcome(const ClaimKey& key, ExecutionState outcome) {
    operations_->RecordOutcome(key, outcome);
  }

  void Leave(Duration timeout, std::function<void()> done) {
    leaving_ = true;
    operations_->Leave(timeout, std::move(done));
  }

 private:
  static MonotonicTime Now() { return ReadMonotonicClock(); }

  // Each keeps this object alive while it runs: what it calls may let go of it.
  SessionLink::Ports LinkPorts() {
    return {.on_connected =
                [this] {
                  const auto alive = shared_from_this();
                  OnConnected();
                },
            .on_connect_failed =
                [this] {
                  const auto alive = shared_from_this();
                  OnConnectFailed();
                },
            .on_frame =
                [this](net::FrameBytes frame) {
                  const auto alive = shared_from_this();
                  OnFrame(frame);
                },
            .on_closed =
                [this] {
                  const auto alive = shared_from_this();
                  OnConnectionClosed();
                }};
  }

  // --- Event loop ------------------------------------------------------------

  // Runs Pump once in a later turn of the loop, so that what is said in one
  // turn goes out together.
  void SchedulePump() {
    if (pump_scheduled_ || closed_) {
      return;
    }
    pump_scheduled_ = true;
    asio::post(context_, [self = shared_from_this()] {
      self->pump_scheduled_ = false;
      self->Pump();
    });
  }

  void Pump() {
    if (closed_ || goodbye_said_) {
      return;
    }
    const MonotonicTime now = Now();
    state_->Tick(now);
    for (SessionAction& action : state_->TakeActions()) {
      CarryOut(action);
    }
    operations_->queue().Expire(now);
    operations_->OfferReports();
    SendCalls(now);
    NoteLease(now);
    NoteProgress();
    ArmTimer(now);
  }

  void ArmTimer(MonotonicTime now) {
    const bool can_send = link_->connection() != nullptr && state_->connected();
    MonotonicTime deadline = std::min(
        state_->NextDeadline(), operations_->queue().NextDeadline(can_send));
    if (had_lease_) {
      deadline = std::min(deadline, now + options_.timing.heartbeat_interval);
    }
    // Never spins: a deadline in the past means the very next moment. It may be
    // the earliest time there is, from which nothing can be taken away.
    const MonotonicTime bounded =
        std::clamp(deadline, now + milliseconds(1), now + seconds(60));
    const Duration delay = bounded - now;
    timer_.expires_after(delay);
    timer_.async_wait([self = shared_from_this()](const asio::error_code& e) {
      if (!e) {
        self->Pump();
      }
    });
  }

  void CarryOut(const SessionAction& action) {
    if (const auto* connect = std::get_if<ConnectAction>(&action)) {
      if (connect->trial) {
        LogEvent(
            kNearerControlTried,
            {{"daemon", options_.daemon_id},
             {"control", net::FormatEndpoint(endpoints_[connect->endpoint])}});
      }
      Connect(connect->endpoint);
    } else if (const auto* beat = std::get_if<HeartbeatAction>(&action)) {
      SendHeartbeat(beat->heartbeat);
    } else {
      LogSessionLost(DescribeReason(std::get<DisconnectAction>(action).reason));
      DropConnection();
    }
  }

  // --- Connection ------------------------------------------------------------

  void Connect(std::size_t endpoint) {
    DropConnection();
    ++counters_.connects;
    link_->Connect(endpoints_[endpoint], options_.timing.connect_timeout);
  }

  void OnConnected() {
    LogEvent(kSessionConnected,
             {{"daemon", options_.daemon_id},
              {"control",
               net::FormatEndpoint(link_->connection()->remote_endpoint())}});
    SendHello();
    reported_term_ = 0;
    state_->OnConnected(Now());
    SchedulePump();
  }

  void OnConnectFailed() {
    state_->OnDisconnected(Now());
    SchedulePump();
  }

  void SendHello() {
    protocol::SessionHelloT hello;
    hello.cluster = options_.cluster;
    hello.member = std::make_unique<protocol::FleetMemberT>();
    hello.member->daemon_id = options_.daemon_id;
    hello.member->incarnation = keeper_->record().incarnation;
    hello.member->zone = options_.zone;
    hello.member->region = options_.region;
    hello.member->peer_address = options_.peer_address;
    hello.member->gateway = options_.gateway;
    hello.member->router = options_.router;
    hello.member->leaving = leaving_;
    hello.view_revision = keeper_->newest()->revision;
    hello.minimum_revision = state_->minimum_revision();
    SendMessage(*link_->connection(), std::move(hello));
  }

  void OnConnectionClosed() {
    LogSessionLost("closed");
    DropConnection();
    state_->OnDisconnected(Now());
    SchedulePump();
  }

  void LogSessionLost(const char* reason) {
    LogEvent(kSessionLost, {{"daemon", options_.daemon_id},
                            {"reason", reason},
                            {"revision", state_->taken()},
                            {"leader_revision", state_->leader_revision()}});
  }

  void DropConnection() {
    operations_->queue().OnDisconnected();
    link_->Drop();
  }

  void SendHeartbeat(const HeartbeatContent& content) {
    if (!link_->connection()) {
      return;
    }
    protocol::HeartbeatT heartbeat = EncodeHeartbeat(content);
    const MonotonicTime now = Now();
    reports_sent_[content.sequence] = now;
    std::erase_if(reports_sent_, [now](const auto& report) {
      return now - report.second > quota::kRateLeaseDuration;
    });
    if (rate_ports_.make_report) {
      EncodeRateReport(rate_ports_.make_report(now), heartbeat);
    }
    if (answer_ports_.make_report) {
      EncodeAnswerReports(answer_ports_.make_report(), heartbeat);
    }
    SendMessage(*link_->connection(), std::move(heartbeat));
  }

  // A leader that is new, or a session that is, has not heard what was said.
  void NoteLeader(std::uint64_t term) {
    if (std::exchange(reported_term_, term) != term &&
        answer_ports_.on_new_leader) {
      answer_ports_.on_new_leader();
    }
  }

  void OnGrants(const protocol::HeartbeatReplyT& reply) {
    const auto sent = reports_sent_.find(reply.sequence);
    if (sent == reports_sent_.end()) {
      return;
    }
    // A machine that knows no leader answers without deciding anything.
    const bool is_leaders =
        reply.outcome != protocol::HeartbeatOutcome::kNoLeader;
    if (rate_ports_.on_grants && is_leaders) {
      rate_ports_.on_grants(DecodeRateGrants(reply.rate_grants), reply.term,
                            sent->second);
    }
    if (answer_ports_.on_renewed && !reply.renewed_rollouts.empty()) {
      answer_ports_.on_renewed(reply.renewed_rollouts, sent->second);
    }
  }

  void OnRateTokens(const protocol::RateTokensT& tokens) {
    const auto sent = reports_sent_.find(tokens.sequence);
    if (sent != reports_sent_.end() && rate_ports_.on_grants) {
      // Tokens of a pool are good under any leader.
      rate_ports_.on_grants(DecodeRateGrants(tokens.grants),
                            quota::kPoolGrantTerm, sent->second);
    }
  }

  // --- Frames ----------------------------------------------------------------

  void OnFrame(net::FrameBytes bytes) {
    auto frame = DecodeFrame(bytes);
    if (!frame) {
      LogEvent(kFrameInvalid, {{"daemon", options_.daemon_id}});
      OnConnectionClosed();
      return;
    }
    auto& message = frame->message;
    if (const auto* update = message.AsFleetUpdate()) {
      OnUpdate(*update);
    } else if (const auto* compressed = message.AsCompressedFleetUpdate()) {
      OnCompressedUpdate(*compressed);
    } else if (const auto* reply = message.AsHeartbeatReply()) {
      state_->OnHeartbeatReply(DecodeHeartbeatAnswer(*reply), Now());
      OnGrants(*reply);
      NoteLeader(reply->term);
    } else if (const auto* tokens = message.AsRateTokens()) {
      OnRateTokens(*tokens);
    } else if (const auto* told = message.AsBackendObservations()) {
      if (observation_listener_) {
        observation_listener_(DecodeObservations(*told));
      }
    } else if (const auto* progress = message.AsSessionProgress()) {
      state_->OnProgress(progress->in_force_revision,
                         progress->zone_released_revision);
    } else if (const auto* call = message.AsSessionCallReply()) {
      operations_->queue().OnReply(*call, Now() + kCallRetryDelay);
    } else if (const auto* members = message.AsControlMembers()) {
      AddControlEndpoints(members->addresses);
      SetControlPlaces(members->places);
    } else if (const auto* refused = message.AsSessionRefused()) {
      LogEvent(kSessionRefused,
               {{"daemon", options_.daemon_id}, {"message", refused->message}});
    }
    SchedulePump();
  }

  // --- Views -----------------------------------------------------------------

  void OnCompressedUpdate(const protocol::CompressedFleetUpdateT& compressed) {
    const auto update = DecodeUpdate(compressed);
    if (!update) {
      LogEvent(kUpdateRefused, {{"daemon", options_.daemon_id},
                                {"error", FormatError(update.error())}});
      return;
    }
    OnUpdate(*update);
  }

  void OnUpdate(const protocol::FleetUpdateT& update) {
    const FleetViewPointer base = keeper_->newest();
    if (!IsApplicable(update, base->revision) ||
        !state_->MayTake(update.to_revision)) {
      LogEvent(kUpdateRefused, {{"daemon", options_.daemon_id},
                                {"revision", update.to_revision},
                                {"have", base->revision},
                                {"minimum", state_->minimum_revision()}});
      return;
    }
    auto view = ApplyUpdate(*base, update);
    if (!view) {
      LogEvent(kUpdateRefused, {{"daemon", options_.daemon_id},
                                {"revision", update.to_revision},
                                {"error", FormatError(view.error())}});
      return;
    }
    ++counters_.updates;
    counters_.full_updates += update.from_revision == 0 ? 1 : 0;
    state_->OnUpdateReceived(update.to_revision, Now());
    keeper_->Stage(std::move(*view));
  }

  void OnTaken(const FleetViewPointer& view) {
    if (view_listener_) {
      view_listener_(view);
    }
    state_->OnTaken(view->revision);
    SchedulePump();
  }

  // --- Operations ------------------------------------------------------------

  void SendCalls(MonotonicTime now) {
    if (!link_->connection() || !state_->connected()) {
      return;
    }
    while (auto call = operations_->queue().TakeCall(now)) {
      SendMessage(*link_->connection(), std::move(*call));
    }
  }

  // --- Notices ---------------------------------------------------------------

  void NoteLease(MonotonicTime now) {
    const bool has_lease = state_->HasLease(now);
    if (has_lease != had_lease_) {
      had_lease_ = has_lease;
      LogEvent(has_lease ? kLeaseGained : kLeaseLost,
               {{"daemon", options_.daemon_id},
                {"revision", keeper_->view()->revision}});
    }
  }

  void NoteProgress() {
    const auto progress =
        std::pair(state_->in_force(), state_->zone_released());
    if (progress != noted_progress_) {
      noted_progress_ = progress;
      if (progress_listener_) {
        progress_listener_();
      }
    }
  }

  void WaitUntilSent(MonotonicTime deadline, std::function<void()> done) {
    const net::FrameConnection* connection = link_->connection();
    const bool sent = connection == nullptr || connection->closed() ||
                      connection->queued_bytes() == 0;
    if (sent || Now() >= deadline) {
      done();
      return;
    }
    timer_.expires_after(kGoodbyePollInterval);
    timer_.async_wait([self = shared_from_this(), deadline,
                       done = std::move(done)](const asio::error_code&) {
      self->WaitUntilSent(deadline, done);
    });
  }

  asio::io_context& context_;
  SessionOptions options_;
  asio::steady_timer timer_;
  ControlEndpoints endpoints_;
  std::shared_ptr<ViewKeeper> keeper_;
  std::unique_ptr<SessionState> state_;
  std::unique_ptr<SessionOperations> operations_;
  std::shared_ptr<SessionLink> link_;
  bool pump_scheduled_ = false;
  bool closed_ = false;
  bool goodbye_said_ = false;
  bool leaving_ = false;
  bool had_lease_ = false;

  std::pair<resources::Revision, resources::Revision> noted_progress_;
  ViewListener view_listener_;
  std::function<void()> progress_listener_;
  RatePorts rate_ports_;
  AnswerReportPorts answer_ports_;
  ObservationListener observation_listener_;
  // Term of the leader that answered last on this connection; 0: none has.
  std::uint64_t reported_term_ = 0;
  // When the reports of leased rates were sent, by their heartbeats' numbers.
  std::map<std::uint64_t, MonotonicTime> reports_sent_;
  Counters counters_;
};

ControlSessionClient::ControlSessionClient(asio::io_context& context,
                                           const SessionOptions& options)
    : implementation_(std::make_shared<Implementation>(context, options)) {}

ControlSessionClient::~ControlSessionClient() { implementation_->Close(); }

void ControlSessionClient::SetPeerAddress(const std::string& address) {
  implementation_->SetPeerAddress(address);
}

void ControlSessionClient::AddControlEndpoints(
    const std::vector<std::string>& addresses) {
  implementation_->AddControlEndpoints(addresses);
}

std::uint64_t ControlSessionClient::incarnation() const {
  return implementation_->incarnation();
}

void ControlSessionClient::Start() { implementation_->Start(); }

void ControlSessionClient::Goodbye(Duration timeout,
                                   std::function<void()> done) {
  implementation_->Goodbye(timeout, std::move(done));
}

FleetViewPointer ControlSessionClient::View() const {
  return implementation_->view();
}

void ControlSessionClient::SetViewListener(ViewListener listener) {
  implementation_->SetViewListener(std::move(listener));
}

bool ControlSessionClient::HasLease(MonotonicTime now) const {
  return implementation_->state().HasLease(now);
}

resources::Revision ControlSessionClient::InForceRevision() const {
  return implementation_->state().in_force();
}

resources::Revision ControlSessionClient::ZoneReleasedRevision() const {
  return implementation_->state().zone_released();
}

void ControlSessionClient::SetProgressListener(std::function<void()> listener) {
  implementation_->SetProgressListener(std::move(listener));
}

void ControlSessionClient::ReportReleased(resources::Revision revision) {
  implementation_->ReportReleased(revision);
}

void ControlSessionClient::SetRatePorts(RatePorts ports) {
  implementation_->SetRatePorts(std::move(ports));
}

void ControlSessionClient::SetAnswerReportPorts(AnswerReportPorts ports) {
  implementation_->SetAnswerReportPorts(std::move(ports));
}

void ControlSessionClient::SendReportSoon() {
  implementation_->SendReportSoon();
}

void ControlSessionClient::SetObservationListener(
    ObservationListener listener) {
  implementation_->SetObservationListener(std::move(listener));
}

void ControlSessionClient::SendObservations(
    const observation::BackendObservations& observations) {
  implementation_->SendObservations(observations);
}

void ControlSessionClient::ReportCrash(const CrashReport& report) {
  implementation_->ReportCrash(report);
}

void ControlSessionClient::ReportBackend(const std::string& backend,
                                         const BackendReport& report) {
  implementation_->ReportBackend(backend, report);
}

void ControlSessionClient::Claim(const ClaimKey& key, WallTime expiry,
                                 Duration timeout, ClaimCallback callback) {
  implementation_->Claim(key, expiry, timeout, std::move(callback));
}

void ControlSessionClient::RecordOutcome(const ClaimKey& key,
                                         ExecutionState outcome) {
  implementation_->RecordOutcome(key, outcome);
}

void ControlSessionClient::Leave(Duration timeout, std::function<void()> done) {
  implementation_->Leave(timeout, std::move(done));
}

std::string ControlSessionClient::ControlAddress() const {
  return implementation_->ControlAddress();
}

ControlSessionClient::Counters ControlSessionClient::GetCounters() const {
  return implementation_->TotalCounters();
}

}  // namespace juniperway::session
