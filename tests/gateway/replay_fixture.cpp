// Simulation of daemons and servers with pauses, faults and limits.
#include "gateway/replay_fixture.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace camphorfield {

namespace {

constexpr Duration kTrip = std::chrono::microseconds(300);
constexpr Duration kHandshake = std::chrono::milliseconds(6);
constexpr double kWorkSpread = 0.35;
constexpr double kTailShare = 0.01;
constexpr double kTailFactor = 5.0;

} // namespace

double
ReplayResult::OnTimeShare() const
{
  return asked_ == 0 ? 1.0 : static_cast<double>(onTime_) / asked_;
}

double
ReplayResult::MeanQuality() const
{
  return asked_ == 0 ? 1.0 : quality_ / asked_;
}

GatewayRoute
MakeQueryRoute(std::size_t aShards,
               double aMinCoverage,
               std::uint32_t aTopRecords)
{
  GatewayRoute route;
  route.name_ = "query";
  route.prefix_ = "/query/";
  route.timeout_ = std::chrono::seconds(2);
  route.objective_ = std::chrono::milliseconds(200);
  route.maxAttempts_ = 2;
  route.topRecords_ = aTopRecords;
  route.minCoverage_ = aMinCoverage;
  for (std::size_t i = 0; i < aShards; ++i) {
    route.shards_.push_back("shard" + std::to_string(i));
  }
  return route;
}

Replay::Replay(std::size_t aDaemons, std::uint64_t aSeed)
  : rng_(aSeed)
{
  for (std::size_t i = 0; i < aDaemons; ++i) {
    GatewaySettings settings;
    settings.failureDomain_ = i % 2 == 0 ? "a" : "b";
    settings.budget_.slack_ = 52.0;
    daemons_.push_back(
      ModelDaemon{ MakeGatewayState(settings), Rng(aSeed + i + 1) });
    FleetRole role;
    role.isEntryDaemon_ = true;
    role.connectionShares_ = static_cast<std::uint32_t>(aDaemons);
    role.limitShare_ = 1.0 / static_cast<double>(aDaemons);
    role.slackFraction_ = 1.0 / static_cast<double>(aDaemons);
    GatewaySetRole(daemons_.back().state_, role);
  }
  config_.version_ = 1;
}

ModelServer&
Replay::AddServer(const std::string& aService, double aSpeed)
{
  servers_.emplace_back();
  ModelServer& server = servers_.back();
  server.id_ = "i-" + std::to_string(servers_.size());
  server.service_ = aService;
  server.domain_ = servers_.size() % 2 == 0 ? "a" : "b";
  server.speed_ = aSpeed;
  config_.services_[aService] = GatewayService{ aService, 25 };
  return server;
}

void
Replay::AddShards(std::size_t aShards)
{
  constexpr std::array kSpeeds{ 0.8, 1.0, 1.3 };
  for (std::size_t i = 0; i < aShards; ++i) {
    const std::string service = "shard" + std::to_string(i);
    AddServer(service, kSpeeds[i % kSpeeds.size()]);
    AddServer(service, kSpeeds[(i + 1) % kSpeeds.size()]);
  }
}

void
Replay::SetRoute(GatewayRoute aRoute)
{
  aRoute.host_ = "host";
  std::erase_if(config_.routes_, [&aRoute](const GatewayRoute& aOther) {
    return aOther.name_ == aRoute.name_;
  });
  config_.routes_.push_back(std::move(aRoute));
}

void
Replay::SetPolicy(const GatewayPolicy& aPolicy)
{
  for (ModelDaemon& daemon : daemons_) {
    daemon.state_.settings_.policy_ = aPolicy;
  }
}

void
Replay::Publish()
{
  Announce();
  Advance(std::chrono::milliseconds(500));
}

void
Replay::Announce()
{
  ++config_.version_;
  std::vector<BackendEntry> entries;
  for (const ModelServer& server : servers_) {
    if (!server.listed_) {
      continue;
    }
    BackendEntry entry;
    entry.id_ = server.id_;
    entry.startedMillis_ = server.incarnation_;
    entry.service_ = server.service_;
    entry.address_ = server.id_;
    entry.failureDomain_ = server.domain_;
    entry.slots_ = server.slots_;
    entry.draining_ = server.draining_;
    entry.warmupLeft_ = server.warmupLeft_;
    entry.sequence_ = config_.version_;
    entries.push_back(entry);
  }
  const auto config = std::make_shared<const GatewayConfig>(config_);
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    GatewayDecisions decisions;
    GatewayAdoptConfig(
      daemons_[i].state_, config, NowOf(), daemons_[i].rng_, decisions);
    GatewayAdoptServers(
      daemons_[i].state_, entries, NowOf(), daemons_[i].rng_, decisions);
    ApplyDecisions(i, decisions);
  }
}

void
Replay::LimitCold(double aPerSecond, Duration aWarmup)
{
  for (auto& [name, service] : config_.services_) {
    service.warmupPerSecond_ = aPerSecond;
    service.warmup_ = aWarmup;
  }
  for (ModelDaemon& daemon : daemons_) {
    daemon.state_.settings_.warmupOverage_ = 1.5;
    daemon.state_.settings_.warmupSlack_ = 5.0;
  }
  SetColdOwners(daemons_.size());
}

void
Replay::SetColdOwners(std::size_t aOwners)
{
  std::vector<DaemonId> owners;
  for (std::size_t i = 0; i < aOwners; ++i) {
    owners.push_back(DaemonId{ i + 1 });
  }
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    camphorfield::SetColdOwners(daemons_[i].state_.coldPlan_,
                                DaemonId{ i + 1 },
                                i < aOwners ? owners : std::vector<DaemonId>{});
  }
}

void
Replay::Evacuate(const std::set<std::string>& aDomains, std::size_t aFirst)
{
  for (std::size_t i = aFirst; i < daemons_.size(); ++i) {
    GatewayDecisions decisions;
    GatewayAdoptEvacuations(
      daemons_[i].state_, aDomains, NowOf(), daemons_[i].rng_, decisions);
    ApplyDecisions(i, decisions);
  }
}

template<typename Item>
void
Replay::HandleEvent(std::size_t aDaemon, Item&& aItem)
{
  GatewayDecisions decisions;
  ModelDaemon& daemon = daemons_[aDaemon];
  GatewayOnEvent(
    daemon.state_, std::forward<Item>(aItem), NowOf(), daemon.rng_, decisions);
  ApplyDecisions(aDaemon, decisions);
}

void
Replay::Arm(std::size_t aDaemon)
{
  ModelDaemon& daemon = daemons_[aDaemon];
  const TimePoint wake = GatewayNextWake(daemon.state_);
  if (wake >= daemon.armed_) {
    return;
  }
  daemon.armed_ = wake;
  At(std::max(wake - now_, Duration::zero()), [this, aDaemon, wake]() {
    if (daemons_[aDaemon].armed_ == wake) {
      daemons_[aDaemon].armed_ = kNever;
      HandleEvent(aDaemon, Tick{});
    }
  });
}

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

// Gossip takes up to some hundred milliseconds.
void
Replay::Report(std::size_t aDaemon, const SuspectFound& aFound)
{
  const auto chance = [this]() {
    return std::uniform_real_distribution<double>()(rng_);
  };
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    const int copies = chance() < 0.2 ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (i == aDaemon || chance() < lostReports_) {
        continue;
      }
      At(std::chrono::milliseconds(50 + rng_() % 400), [this, i, aFound]() {
        GatewayAdoptSuspect(
          daemons_[i].state_, aFound.fingerprint_, aFound.evidence_, NowOf());
      });
    }
  }
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
  answer.status_ = server.fault_ == ModelFault::Fail ? 500 : 200;
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

void
Replay::At(Duration aAfter, std::function<void()> aAction)
{
  schedule_.push(
    Scheduled{ now_ + aAfter,
               order_++,
               std::make_shared<std::function<void()>>(std::move(aAction)) });
}

void
Replay::Advance(Duration aTime)
{
  const TimePoint end = now_ + aTime;
  while (!schedule_.empty() && schedule_.top().at_ <= end) {
    const Scheduled next = schedule_.top();
    schedule_.pop();
    now_ = std::max(now_, next.at_);
    (*next.action_)();
  }
  now_ = end;
}

std::uint64_t
Replay::SendRequest(std::size_t aDaemon,
                    const std::string& aTarget,
                    Duration aCallerTimeout,
                    const std::string& aCaller,
                    const std::string& aKey)
{
  const std::uint64_t id = nextRequest_++;
  auto message = std::make_shared<ProxyMessage>();
  message->method_ = "GET";
  message->target_ = aTarget;
  message->path_ = aTarget.substr(0, aTarget.find('?'));
  message->host_ = "host";
  message->requestId_ = "r" + std::to_string(id);
  ProxyRequest request;
  request.id_ = CallerRequestId{ id };
  request.caller_ = aCaller;
  request.message_ = std::move(message);
  request.callerTimeout_ = aCallerTimeout;
  request.key_ = aKey;
  HandleEvent(aDaemon, request);
  return id;
}

void
Replay::CancelRequest(std::size_t aDaemon, std::uint64_t aRequest)
{
  HandleEvent(aDaemon, CallerDisconnected{ CallerRequestId{ aRequest } });
}

const ProxyAnswer*
Replay::AnswerOf(std::uint64_t aRequest) const
{
  const auto found = answers_.find(aRequest);
  return found == answers_.end() ? nullptr : &found->second;
}

ModelServer&
Replay::Server(const std::string& aId)
{
  return *std::find_if(
    servers_.begin(), servers_.end(), [&aId](const ModelServer& aServer) {
      return aServer.id_ == aId;
    });
}

std::uint64_t
Replay::Sends() const
{
  return sendsSeen_.size();
}

void
Replay::Offer(const ReplayLoad& aLoad,
              ReplayResult& aResult,
              TimePoint aBegun,
              std::uint32_t aRetriesLeft)
{
  const TimePoint sent = now_;
  const std::size_t daemon = rng_() % daemons_.size();
  waiters_[nextRequest_] = [this, &aLoad, &aResult, aBegun, sent, aRetriesLeft](
                             const ProxyAnswer& aAnswer) {
    const auto route = std::find_if(
      config_.routes_.begin(),
      config_.routes_.end(),
      [&aLoad](const GatewayRoute& aRoute) {
        return aLoad.target_.substr(0, aRoute.prefix_.size()) == aRoute.prefix_;
      });
    if (aAnswer.code_ <= ProxyCode::Merged) {
      const bool late = now_ - aBegun > route->objective_;
      const auto shards =
        static_cast<double>(std::max<std::size_t>(route->shards_.size(), 1));
      const double coverage = 1.0 - aAnswer.missing_ / shards;
      ++(late ? aResult.late_ : aResult.onTime_);
      aResult.quality_ += late ? 0.0 : coverage * coverage;
      aResult.took_.push_back(now_ - aBegun);
      return;
    }
    if (aAnswer.retryAfter_.count() == 0) {
      ++aResult.failed_;
      return;
    }
    aResult.rejectedAfter_.push_back(now_ - sent);
    if (aRetriesLeft == 0) {
      ++aResult.rejected_;
      return;
    }
    At(aAnswer.retryAfter_, [this, &aLoad, &aResult, aBegun, aRetriesLeft]() {
      Offer(aLoad, aResult, aBegun, aRetriesLeft - 1);
    });
  };
  const TimePoint deadline = aBegun + aLoad.callerTimeout_;
  SendRequest(daemon, aLoad.target_, deadline - now_);
}

std::map<std::string, ReplayResult>
Replay::Run(const std::vector<ReplayLoad>& aLoads, Duration aTime)
{
  std::map<std::string, ReplayResult> results;
  for (const ReplayLoad& load : aLoads) {
    workOf_[load.target_] = load.work_;
    std::exponential_distribution<double> gap(load.perSecond_);
    for (double at = gap(rng_); at < static_cast<double>(aTime.count()) / 1e6;
         at += gap(rng_)) {
      ReplayResult& result = results[load.target_];
      At(Duration(static_cast<std::int64_t>(at * 1e6)),
         [this, &load, &result]() {
           ++result.asked_;
           Offer(load, result, now_, load.retries_);
         });
    }
  }
  Advance(aTime + std::chrono::seconds(10));
  return results;
}

} // namespace camphorfield
