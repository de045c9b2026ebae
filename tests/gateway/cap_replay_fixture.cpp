// Simulation of daemons with caps: message delays, views that differ, faults.
#include "gateway/cap_replay_fixture.h"

#include "gateway/replay_clock.h"

#include <algorithm>
#include <cmath>

namespace camphorfield {

namespace {

constexpr double kOverage = 0.1;
constexpr double kSlack = 20.0;
constexpr std::size_t kEntryDaemons = 24;
constexpr std::size_t kCustomers = 24;
/** Callers begin when the buckets have filled. */
constexpr Duration kQuietStart = std::chrono::seconds(12);
constexpr Duration kTickInterval = std::chrono::milliseconds(250);
/** A caller changes its daemon after this time, on average. */
constexpr double kStaySeconds = 4.0;
/** Failure detection. */
constexpr Duration kDetection = std::chrono::milliseconds(3000);
constexpr Duration kGossip = std::chrono::milliseconds(800);

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

DaemonId
IdOf(std::size_t aIndex)
{
  return DaemonId{ aIndex + 1 };
}

} // namespace

CapReplay::CapReplay(std::size_t aDaemons, std::uint64_t aSeed)
  : rng_(aSeed)
  , entries_(std::min(aDaemons, kEntryDaemons))
{
  config_.organisations_.emplace();
  for (std::size_t i = 0; i < kCustomers; ++i) {
    Customer customer;
    Organisation& organisation = customer.organisation_;
    organisation.name_ = "customer" + std::to_string(i);
    // A few are large.
    organisation.perSecond_ = i % 8 == 0 ? 120.0 : 6.0 + 2.0 * (i % 8);
    organisation.burst_ = organisation.perSecond_;
    customer.demand_ = 0.7 + 0.1 * static_cast<double>(i % 5);
    customer.phase_ = Chance() * 6.28;
    customer.reference_ = { organisation.burst_, now_ };
    customer.fixed_.assign(kEntryDaemons, { 0.0, now_ });
    config_.organisations_->push_back(organisation);
    customers_.push_back(std::move(customer));
  }
  for (Customer& customer : customers_) {
    SetAllowed(customer);
    for (int caller = 0; caller < 13; ++caller) {
      customer.callers_.push_back(rng_() % entries_);
    }
  }
  for (std::size_t i = 0; i < aDaemons; ++i) {
    daemons_.push_back(MakeDaemon(i, aSeed + i));
    daemons_.back().lists_.assign(aDaemons, true);
  }
  for (std::size_t i = 0; i < aDaemons; ++i) {
    SetView(i);
    Tick(i);
  }
  for (std::size_t i = 0; i < customers_.size(); ++i) {
    At(kQuietStart, [this, i]() { ScheduleAsk(i); });
  }
}

CapReplay::Daemon
CapReplay::MakeDaemon(std::size_t aIndex, std::uint64_t aSeed)
{
  Daemon daemon;
  daemon.rng_ = Rng(aSeed);
  daemon.caps_ = MakeRateCaps({ kCapWindow, kOverage, kSlack }, IdOf(aIndex));
  CapOutput nothing;
  CapsOnTick(daemon.caps_, now_, daemon.rng_, nothing);
  CapsAdoptConfig(daemon.caps_, config_, now_, nothing);
  return daemon;
}

void
CapReplay::SetAllowed(Customer& aCustomer)
{
  const Organisation& organisation = aCustomer.organisation_;
  aCustomer.allowed_ =
    (organisation.perSecond_ * Seconds(kCapWindow) + organisation.burst_) *
      (1.0 + kOverage) +
    kSlack;
}

void
CapReplay::At(Duration aAfter, std::function<void()> aAction)
{
  ScheduleAction(schedule_, now_ + aAfter, order_, std::move(aAction));
}

void
CapReplay::Run(Duration aTime)
{
  RunActions(schedule_, now_, now_ + aTime);
}

void
CapReplay::SetView(std::size_t aDaemon)
{
  Daemon& daemon = daemons_[aDaemon];
  if (!daemon.alive_) {
    return;
  }
  CapView view;
  std::uint32_t entries = 0;
  for (std::size_t i = 0; i < daemon.lists_.size(); ++i) {
    if (daemon.lists_[i]) {
      view.members_.push_back(IdOf(i));
      entries += i < entries_ ? 1 : 0;
    }
  }
  daemon.largest_ = std::max(daemon.largest_, view.members_.size());
  view.majority_ = view.members_.size() * 2 > daemon.largest_;
  view.entryDaemons_ = entries;
  CapOutput out;
  CapsAdoptView(daemon.caps_, view, now_, out);
  Apply(aDaemon, out);
}

void
CapReplay::List(std::size_t aAt, std::size_t aOf, bool aListed, Duration aAfter)
{
  At(aAfter, [this, aAt, aOf, aListed]() {
    std::vector<bool>& lists = daemons_[aAt].lists_;
    lists.resize(std::max(lists.size(), aOf + 1), false);
    lists[aOf] = aListed || aOf == aAt;
    SetView(aAt);
  });
}

void
CapReplay::Apply(std::size_t aDaemon, CapOutput& aOut)
{
  for (const CapSend& send : aOut.sends_) {
    const std::size_t to = send.to_.value_ - 1;
    ++messages_;
    if (Chance() < lost_ || daemons_[to].side_ != daemons_[aDaemon].side_) {
      continue;
    }
    const double millis =
      Chance() < 0.01 ? 30.0 * Chance() : 0.4 + 2.6 * Chance();
    const DaemonId from = IdOf(aDaemon);
    At(Duration(static_cast<std::int64_t>(millis * 1000.0)),
       [this, to, from, message = send.message_]() {
         Deliver(to, from, message);
       });
  }
  for (const CapVerdict& verdict : aOut.verdicts_) {
    Customer& customer = customers_[customerOf_.at(verdict.request_)];
    if (verdict.admitted_) {
      customer.sent_.push_back(now_);
      customer.windows_[(now_ - begun_) / kCapWindow][1] += 1.0;
    }
    customerOf_.erase(verdict.request_);
  }
  aOut = CapOutput{};
  Arm(aDaemon);
}

void
CapReplay::Arm(std::size_t aDaemon)
{
  const TimePoint wake = CapsNextWake(daemons_[aDaemon].caps_);
  if (wake != kNever) {
    At(std::max(wake - now_, Duration::zero()), [this, aDaemon]() {
      Daemon& daemon = daemons_[aDaemon];
      if (daemon.alive_ && now_ >= daemon.pausedUntil_ &&
          CapsNextWake(daemon.caps_) <= now_) {
        CapOutput out;
        CapsOnTick(daemon.caps_, now_, daemon.rng_, out);
        Apply(aDaemon, out);
      }
    });
  }
}

void
CapReplay::Tick(std::size_t aDaemon)
{
  Daemon& daemon = daemons_[aDaemon];
  if (daemon.alive_ && now_ >= daemon.pausedUntil_) {
    CapOutput out;
    CapsOnTick(daemon.caps_, now_, daemon.rng_, out);
    Apply(aDaemon, out);
  }
  At(kTickInterval, [this, aDaemon]() { Tick(aDaemon); });
}

void
CapReplay::Deliver(std::size_t aTo, DaemonId aFrom, const CapMessage& aMessage)
{
  Daemon& daemon = daemons_[aTo];
  if (!daemon.alive_) {
    return;
  }
  if (now_ < daemon.pausedUntil_) {
    At(daemon.pausedUntil_ - now_,
       [this, aTo, aFrom, aMessage]() { Deliver(aTo, aFrom, aMessage); });
    return;
  }
  CapOutput out;
  CapsOnMessage(daemon.caps_, aFrom, aMessage, now_, daemon.rng_, out);
  Apply(aTo, out);
}

std::size_t
CapReplay::PickEntry()
{
  for (;;) {
    const std::size_t daemon = rng_() % entries_;
    if (daemons_[daemon].alive_) {
      return daemon;
    }
  }
}

void
CapReplay::ScheduleAsk(std::size_t aCustomer)
{
  constexpr double kPeriodSeconds = 9.0;
  const Customer& customer = customers_[aCustomer];
  // From a third of the mean to well above the cap.
  const double wave =
    1.0 + 0.65 * std::sin(Seconds(now_ - begun_) * 6.28 / kPeriodSeconds +
                          customer.phase_);
  const double perSecond =
    wave * customer.demand_ * (*config_.organisations_)[aCustomer].perSecond_;
  std::exponential_distribution<double> gap(std::max(perSecond, 0.1));
  At(Duration(static_cast<std::int64_t>(gap(rng_) * 1e6)),
     [this, aCustomer]() { Ask(aCustomer); });
}

bool
CapReplay::TakeReference(const Organisation& aFrom,
                         double aShare,
                         Bucket& aBucket) const
{
  const double capacity = std::max(aFrom.burst_ * aShare, 1.0);
  aBucket.tokens_ = std::min(aBucket.tokens_ + Seconds(now_ - aBucket.at_) *
                                                 aFrom.perSecond_ * aShare,
                             capacity);
  aBucket.at_ = now_;
  const bool taken = aBucket.tokens_ >= 1.0;
  aBucket.tokens_ -= taken ? 1.0 : 0.0;
  return taken;
}

void
CapReplay::Ask(std::size_t aCustomer)
{
  Customer& customer = customers_[aCustomer];
  ScheduleAsk(aCustomer);
  // Some callers ask far more than others.
  const double lot = Chance();
  const auto caller = static_cast<std::size_t>(
    lot * lot * static_cast<double>(customer.callers_.size()));
  std::size_t& entry = customer.callers_[caller];
  const double perSecond = customer.organisation_.perSecond_ /
                           static_cast<double>(customer.callers_.size());
  if (!daemons_[entry].alive_ || Chance() < 1.0 / (kStaySeconds * perSecond)) {
    entry = PickEntry();
  }
  Daemon& daemon = daemons_[entry];
  if (now_ < daemon.pausedUntil_) {
    return;
  }
  asked_ += 1.0;
  auto& window = customer.windows_[(now_ - begun_) / kCapWindow];
  window[0] +=
    TakeReference(customer.organisation_, 1.0, customer.reference_) ? 1 : 0;
  const double share = 1.0 / static_cast<double>(entries_);
  window[2] +=
    TakeReference(customer.organisation_, share, customer.fixed_[entry]) ? 1
                                                                         : 0;
  const std::uint64_t request = nextRequest_++;
  customerOf_[request] = aCustomer;
  CapOutput out;
  RateCap* cap = FindCap(daemon.caps_, customer.organisation_);
  TakeCapToken(daemon.caps_, *cap, request, now_, daemon.rng_, out);
  Apply(entry, out);
}

std::size_t
CapReplay::BusiestOwner() const
{
  std::size_t best = 0;
  double most = -1.0;
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    const double sum = OwnedShare(i);
    if (daemons_[i].alive_ && sum > most) {
      most = sum;
      best = i;
    }
  }
  return best;
}

double
CapReplay::OwnedShare(std::size_t aDaemon) const
{
  double owned = 0.0;
  double all = 0.0;
  for (const auto& [hash, cap] : daemons_[aDaemon].caps_.caps_) {
    owned += cap.owned_.active_ ? cap.perSecond_ : 0.0;
    all += cap.perSecond_;
  }
  return owned / all;
}

void
CapReplay::Kill(std::size_t aDaemon)
{
  affected_ += OwnedShare(aDaemon);
  daemons_[aDaemon].alive_ = false;
  LeaveViews(aDaemon, kDetection, std::chrono::seconds(3600));
}

void
CapReplay::Pause(std::size_t aDaemon, Duration aTime)
{
  affected_ += OwnedShare(aDaemon);
  daemons_[aDaemon].pausedUntil_ = now_ + aTime;
}

void
CapReplay::LeaveViews(std::size_t aDaemon, Duration aAfter, Duration aTime)
{
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    const auto spread = [this]() {
      return Duration(static_cast<std::int64_t>(
        Chance() * static_cast<double>(kGossip.count())));
    };
    if (i != aDaemon) {
      List(i, aDaemon, false, aAfter + spread());
      List(i, aDaemon, true, aAfter + aTime + spread());
    }
  }
}

void
CapReplay::Split(double aShare)
{
  const auto cut = static_cast<std::size_t>(aShare * 10.0);
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    daemons_[i].side_ = i % 10 < cut ? 1 : 0;
  }
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    for (std::size_t j = 0; j < daemons_.size(); ++j) {
      if (daemons_[i].side_ != daemons_[j].side_) {
        List(i,
             j,
             false,
             kDetection +
               Duration(static_cast<std::int64_t>(Chance() * 1.5e6)));
      }
    }
  }
}

void
CapReplay::Heal()
{
  for (Daemon& daemon : daemons_) {
    daemon.side_ = 0;
  }
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    for (std::size_t j = 0; j < daemons_.size(); ++j) {
      List(i, j, true, Duration(static_cast<std::int64_t>(Chance() * 2e6)));
    }
  }
}

// It learns of the others, and they of it, one after the other.
void
CapReplay::Join()
{
  const std::size_t index = daemons_.size();
  daemons_.push_back(MakeDaemon(index, index));
  daemons_[index].lists_.assign(index + 1, false);
  daemons_[index].lists_[index] = true;
  SetView(index);
  Tick(index);
  for (std::size_t i = 0; i < index; ++i) {
    List(i,
         index,
         true,
         Duration(static_cast<std::int64_t>(
           Chance() * static_cast<double>(kGossip.count()))));
    List(index,
         i,
         true,
         Duration(static_cast<std::int64_t>(
           Chance() * static_cast<double>(kGossip.count()))));
  }
}

void
CapReplay::RestartAll()
{
  const std::size_t count = daemons_.size();
  for (std::size_t i = 0; i < count; ++i) {
    daemons_[i] = MakeDaemon(i, order_ + i);
    daemons_[i].lists_.assign(count, false);
    daemons_[i].lists_[i] = true;
    SetView(i);
    for (std::size_t j = 0; j < count; ++j) {
      List(i, j, true, Duration(static_cast<std::int64_t>(Chance() * 1.2e6)));
    }
  }
}

void
CapReplay::RestartSome(double aShare)
{
  const auto restarted =
    static_cast<std::size_t>(aShare * static_cast<double>(daemons_.size()));
  for (std::size_t i = 0; i < restarted; ++i) {
    affected_ += OwnedShare(i);
    const int side = daemons_[i].side_;
    daemons_[i] = MakeDaemon(i, order_ + i);
    daemons_[i].side_ = side;
    daemons_[i].lists_.assign(daemons_.size(), false);
    daemons_[i].lists_[i] = true;
    SetView(i);
    for (std::size_t j = 0; j < daemons_.size(); ++j) {
      List(i,
           j,
           true,
           Duration(static_cast<std::int64_t>(
             Chance() * static_cast<double>(kJoinViews.count()))));
    }
  }
}

// The demand stays as it was: far above the new cap.
void
CapReplay::ScaleCaps(double aFactor)
{
  config_.version_ += 1;
  auto config = std::make_shared<GatewayConfig>(config_);
  for (Organisation& organisation : *config->organisations_) {
    organisation.perSecond_ *= aFactor;
    organisation.burst_ *= aFactor;
  }
  constexpr Duration kSpread = std::chrono::seconds(2);
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    At(Duration(static_cast<std::int64_t>(
         Chance() * static_cast<double>(kSpread.count()))),
       [this, i, config]() {
         CapOutput out;
         CapsAdoptConfig(daemons_[i].caps_, *config, now_, out);
         Apply(i, out);
       });
  }
  for (std::size_t i = 0; i < customers_.size(); ++i) {
    customers_[i].organisation_ = (*config->organisations_)[i];
  }
  // It binds one window after it is in force everywhere.
  At(kSpread, [this]() {
    for (std::size_t i = 0; i < customers_.size(); ++i) {
      customers_[i].allowedFrom_ = now_ + kCapWindow;
      SetAllowed(customers_[i]);
    }
  });
}

} // namespace camphorfield
