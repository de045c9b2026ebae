// Model servers and the connections of daemons to them: pauses, faults, limits.
#include "gateway/replay_fixture.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorfield {

namespace {

constexpr Duration kTrip = std::chrono::microseconds(300);
constexpr Duration kHandshake = std::chrono::milliseconds(6);
constexpr double kWorkSpread = 0.35;
constexpr double kTailShare = 0.01;
constexpr double kTailFactor = 5.0;

} // namespace

void
Replay::ApplyDecisions(std::size_t aDaemon, GatewayDecisions& aDecisions)
{
  for (GatewayDecision& decision : aDecisions) {
    if (auto* answer = std::get_if<ProxyAnswer>(&decision)) {
      const std::uint64_t id = answer->id_.value_;
      const auto waiter = waiters_.find(id);
      if (waiter != waiters_.end()) {
        const Waiter function = std::move(waiter->second);
        waiters_.erase(waiter);
        function(*answer);
      } else {
        answers_[id] = std::move(*answer);
      }
    } else if (const auto* connect = std::get_if<BackendConnect>(&decision)) {
      Connect(aDaemon, *connect);
    } else if (const auto* send = std::get_if<BackendSend>(&decision)) {
      sendsSeen_.push_back(*send);
      const std::uint64_t serial =
        serialOf_.at({ aDaemon, send->connection_.value_ });
      At(kTrip, [this, serial, copy = *send]() { Deliver(serial, copy); });
    } else if (const auto* end = std::get_if<BackendDisconnect>(&decision)) {
      const auto found = serialOf_.find({ aDaemon, end->connection_.value_ });
      if (found != serialOf_.end()) {
        const std::uint64_t serial = found->second;
        serialOf_.erase(found);
        ++servers_[connections_.at(serial).server_].closedByDaemons_;
        At(kTrip, [this, serial]() { Drop(serial); });
      }
    } else if (const auto* record = std::get_if<BackendRecord>(&decision)) {
      ++recordsSeen_[record->change_];
    } else if (const auto* found = std::get_if<SuspectFound>(&decision)) {
      Report(aDaemon, *found);
    }
  }
  Arm(aDaemon);
}

void
Replay::Connect(std::size_t aDaemon, const BackendConnect& aConnect)
{
  const std::uint64_t serial = nextSerial_++;
  const std::uint64_t key = aConnect.connection_.value_;
  const auto server = std::find_if(
    servers_.begin(), servers_.end(), [&](const ModelServer& aServer) {
      return aServer.id_ == aConnect.address_;
    });
  const auto index = static_cast<std::size_t>(server - servers_.begin());
  serialOf_[{ aDaemon, key }] = serial;
  connections_[serial] = ModelConnection{ aDaemon, key, index, 0, "", now_ };
  if (server->fault_ == ModelFault::Silent) {
    At(aConnect.timeout_,
       [this, serial]() { Break(serial, BackendEnd::TimedOut); });
    return;
  }
  if (server->fault_ == ModelFault::Down) {
    At(2 * kTrip, [this, serial]() { Break(serial, BackendEnd::Refused); });
    return;
  }
  const bool over = server->connections_ >= server->accepts_;
  server->rejectedConnections_ += over ? 1 : 0;
  ++server->connections_;
  server->peakConnections_ =
    std::max(server->peakConnections_, server->connections_);
  At(2 * kTrip + kHandshake, [this, serial, aDaemon, key, over]() {
    if (serialOf_.count({ aDaemon, key }) > 0 &&
        connections_.count(serial) > 0) {
      HandleEvent(aDaemon, BackendOpened{ ConnectionId{ key } });
    }
    if (over) {
      At(kTrip, [this, serial]() { Break(serial, BackendEnd::Reset); });
    }
  });
}

void
Replay::Drop(std::uint64_t aConnection)
{
  const auto found = connections_.find(aConnection);
  if (found == connections_.end()) {
    return;
  }
  const ModelConnection connection = found->second;
  connections_.erase(found);
  ModelServer& server = servers_[connection.server_];
  server.connections_ -= server.connections_ > 0 ? 1 : 0;
  if (connection.job_ != 0) {
    std::erase(server.waiting_, connection.job_);
    std::erase(server.running_, connection.job_);
    jobs_.erase(connection.job_);
    StartJobs(connection.server_);
  }
}

void
Replay::Break(std::uint64_t aConnection, BackendEnd aEnd)
{
  const auto found = connections_.find(aConnection);
  if (found == connections_.end()) {
    return;
  }
  const ModelConnection connection = found->second;
  const bool begun =
    connection.job_ != 0 && servers_[connection.server_].breaksInAnswers_;
  Drop(aConnection);
  const bool open =
    serialOf_.erase({ connection.daemon_, connection.key_ }) > 0;
  if (open) {
    HandleEvent(connection.daemon_,
                BackendClosed{ ConnectionId{ connection.key_ }, aEnd, begun });
  }
}

void
Replay::CountUnwanted(std::size_t aDaemon, ModelServer& aServer)
{
  constexpr Duration kInFlight = std::chrono::milliseconds(100);
  const auto told = aServer.told_.find(aDaemon);
  if (told == aServer.told_.end()) {
    return;
  }
  const ModelGuidance& guidance = told->second;
  if (aServer.leaving_ && now_ - kInFlight > guidance.leavingSince_) {
    ++aServer.unwantedWhileLeaving_;
  }
  if (now_ - kInFlight > guidance.pausedSince_ &&
      now_ < guidance.pausedUntil_) {
    ++aServer.unwantedWhilePaused_;
  }
}

void
Replay::Deliver(std::uint64_t aConnection, const BackendSend& aSend)
{
  const auto found = connections_.find(aConnection);
  if (found == connections_.end()) {
    return;
  }
  ModelServer& server = servers_[found->second.server_];
  if (server.dropsIdle_.count() > 0 &&
      now_ - found->second.idleSince_ > server.dropsIdle_) {
    At(kTrip, [this, aConnection]() { Break(aConnection, BackendEnd::Reset); });
    return;
  }
  if (found->second.copy_) {
    BackendAnswer copy = *std::exchange(found->second.copy_, std::nullopt);
    Send(aConnection, std::move(copy));
  }
  ++server.arrivals_;
  server.arrivalTimes_.push_back(now_);
  CountUnwanted(found->second.daemon_, server);
  if (server.fault_ == ModelFault::Silent) {
    return;
  }
  if (server.fault_ == ModelFault::Moved) {
    BackendAnswer other;
    other.status_ = 421;
    other.notRun_ = true;
    other.requestId_ = aSend.message_->requestId_;
    other.requestLimit_ = 0.0;
    other.leaving_ = true;
    other.retryAfter_ = std::chrono::seconds(60);
    Reply(aConnection, std::move(other));
    return;
  }
  const bool sheds = server.sheds_ > 0;
  server.sheds_ -= sheds ? 1 : 0;
  if (sheds || server.fault_ == ModelFault::Shed ||
      server.waiting_.size() >= server.queue_) {
    BackendAnswer shed;
    shed.status_ = 503;
    shed.notRun_ = true;
    shed.requestId_ = aSend.message_->requestId_;
    shed.requestLimit_ = server.limit_;
    shed.leaving_ = server.leaving_;
    shed.malformedGuidance_ = server.malformedGuidance_;
    shed.retryAfter_ = server.retryAfter_;
    Reply(aConnection, std::move(shed));
    return;
  }
  const std::uint64_t job = nextSerial_++;
  found->second.job_ = job;
  const Duration mean = workOf_[aSend.message_->path_];
  const double factor = workFactor_ ? workFactor_(aSend) : 1.0;
  const auto work =
    static_cast<std::int64_t>(static_cast<double>(Work(mean).count()) * factor);
  jobs_[job] =
    ModelJob{ found->second.server_, aConnection, aSend, Duration(work) };
  server.waiting_.push_back(job);
  StartJobs(found->second.server_);
}

Duration
Replay::Work(Duration aMean)
{
  std::normal_distribution<double> spread(0.0, kWorkSpread);
  const double tail =
    static_cast<double>(rng_() % 10000) < kTailShare * 10000 ? kTailFactor : 1;
  const double factor =
    std::exp(spread(rng_) - kWorkSpread * kWorkSpread / 2) * tail;
  return Duration(
    static_cast<std::int64_t>(static_cast<double>(aMean.count()) * factor));
}

Duration
Replay::PauseLeft(const ModelServer& aServer) const
{
  if (aServer.pauseEvery_.count() == 0) {
    return Duration::zero();
  }
  const std::int64_t place =
    (now_.time_since_epoch() + aServer.pauseAt_).count() %
    aServer.pauseEvery_.count();
  return std::max(aServer.pauseFor_ - Duration(place), Duration::zero());
}

void
Replay::OnCrash(std::function<void(std::size_t)> aAction)
{
  onCrash_ = std::move(aAction);
}

void
Replay::Crash(std::size_t aServer, ModelFault aAfter)
{
  servers_[aServer].fault_ = aAfter;
  std::vector<std::uint64_t> open;
  for (const auto& [serial, connection] : connections_) {
    if (connection.server_ == aServer) {
      open.push_back(serial);
    }
  }
  for (const std::uint64_t serial : open) {
    At(kTrip, [this, serial]() { Break(serial, BackendEnd::Reset); });
  }
}

void
Replay::Restart(std::size_t aServer)
{
  Crash(aServer, ModelFault::None);
  ModelServer& server = servers_[aServer];
  for (const auto& jobs :
       { server.running_,
         { server.waiting_.begin(), server.waiting_.end() } }) {
    for (const std::uint64_t job : jobs) {
      jobs_.erase(job);
    }
  }
  server.waiting_.clear();
  server.running_.clear();
  server.draining_ = false;
  server.listed_ = true;
  ++server.incarnation_;
  Announce();
}

void
Replay::StartJobs(std::size_t aServer)
{
  ModelServer& server = servers_[aServer];
  while (server.running_.size() < server.slots_ && !server.waiting_.empty()) {
    const std::uint64_t key = server.waiting_.front();
    server.waiting_.pop_front();
    server.running_.push_back(key);
    ++server.ran_;
    ++runsById_[jobs_.at(key).send_.message_->requestId_];
    ModelJob& job = jobs_.at(key);
    job.running_ = true;
    if (server.crashesOn_ &&
        job.send_.message_->path_.find("poison") != std::string::npos) {
      crashes_.push_back(
        ModelCrash{ now_, aServer, job.send_.message_->requestId_ });
      if (onCrash_) {
        onCrash_(aServer);
      } else {
        Crash(aServer);
      }
      return;
    }
    const auto work = static_cast<std::int64_t>(
      static_cast<double>(job.work_.count()) * server.speed_);
    At(Duration(work) + PauseLeft(server), [this, key]() { EndJob(key); });
  }
}

void
Replay::EndJob(std::uint64_t aJob)
{
  const auto found = jobs_.find(aJob);
  if (found == jobs_.end()) {
    return;
  }
  ModelServer& server = servers_[found->second.server_];
  // A pause that has begun in the meantime delays the answer.
  const Duration pause = PauseLeft(server);
  if (pause.count() > 0) {
    At(pause, [this, aJob]() { EndJob(aJob); });
    return;
  }
  const ModelJob job = found->second;
  jobs_.erase(found);
  std::erase(server.running_, aJob);
  ModelConnection& connection = connections_.at(job.connection_);
  connection.job_ = 0;
  const ProxyMessage& message = *job.send_.message_;
  BackendAnswer answer;
  answer.status_ = server.fault_ == ModelFault::Fail ? server.failStatus_ : 200;
  answer.requestId_ = message.requestId_;
  answer.proof_ = server.id_ + "/" + message.requestId_;
  answer.load_ =
    ReportedLoad{ true,
                  static_cast<std::uint32_t>(server.running_.size()),
                  static_cast<std::uint32_t>(server.waiting_.size()),
                  server.slots_ };
  if (server.report_) {
    server.report_(answer.load_);
  }
  answer.requestLimit_ = server.limit_;
  answer.leaving_ = server.leaving_;
  answer.malformedGuidance_ = server.malformedGuidance_;
  answer.body_.assign(16, 'r');
  switch (server.fault_) {
    case ModelFault::Silent:
      break;
    case ModelFault::Reset:
      connection.job_ = server.breaksInAnswers_ ? aJob : 0;
      Break(job.connection_, BackendEnd::Reset);
      break;
    case ModelFault::Garble:
      answer.proof_.clear();
      Reply(job.connection_, std::move(answer));
      break;
    case ModelFault::Twice:
    case ModelFault::Bare:
      if (!connection.lastId_.empty()) {
        BackendAnswer extra = answer;
        extra.requestId_ =
          server.fault_ == ModelFault::Twice ? connection.lastId_ : "";
        extra.proof_ = server.id_ + "/" + connection.lastId_;
        Reply(job.connection_, std::move(extra));
      }
      connection.lastId_ = message.requestId_;
      Reply(job.connection_, std::move(answer));
      break;
    default:
      Reply(job.connection_, std::move(answer));
      break;
  }
  StartJobs(job.server_);
}

void
Replay::Reply(std::uint64_t aConnection, BackendAnswer aAnswer)
{
  const auto found = connections_.find(aConnection);
  if (found == connections_.end()) {
    return;
  }
  const ModelServer& server = servers_[found->second.server_];
  if (server.hidesIds_) {
    aAnswer.requestId_.clear();
  }
  if (server.lateCopies_) {
    found->second.copy_ = aAnswer;
  }
  Send(aConnection, std::move(aAnswer));
}

void
Replay::Send(std::uint64_t aConnection, BackendAnswer aAnswer)
{
  At(kTrip, [this, aConnection, answer = std::move(aAnswer)]() mutable {
    const auto found = connections_.find(aConnection);
    if (found == connections_.end()) {
      return;
    }
    const ModelConnection connection = found->second;
    if (serialOf_.count({ connection.daemon_, connection.key_ }) > 0) {
      answer.connection_ = ConnectionId{ connection.key_ };
      ModelGuidance& told =
        servers_[connection.server_].told_[connection.daemon_];
      if (answer.leaving_) {
        told.leavingSince_ = std::min(told.leavingSince_, now_);
      }
      if (answer.retryAfter_.count() > 0) {
        told.pausedSince_ = now_;
        told.pausedUntil_ = now_ + answer.retryAfter_;
      }
      HandleEvent(connection.daemon_, std::move(answer));
    }
  });
}

} // namespace camphorfield
