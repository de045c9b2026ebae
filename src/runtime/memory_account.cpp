// Joins the budget's decisions with the connections that they close.
#include "runtime/memory_account.h"

#include "observe/log.h"
#include "runtime/clock.h"

#include <algorithm>
#include <utility>

namespace camphorfield {

namespace {

constexpr Duration kLogInterval = std::chrono::seconds(5);
/** Changes below this are not worth a search of the holders. */
constexpr std::uint64_t kGranule = 4096;
/** A large request may use three quarters of the limit. */
constexpr std::uint64_t kLargestRequests = 2;

} // namespace

std::string_view
LimitName(MemoryLimit aLimit)
{
  static constexpr std::array<std::string_view,
                              static_cast<std::size_t>(MemoryLimit::End)>
    kNames{ "head",   "body",  "request",    "stalled",    "connections",
            "answer", "frame", "slow_frame", "store_reply" };
  return kNames[static_cast<std::size_t>(aLimit)];
}

MemoryAccount::MemoryAccount(std::uint64_t aLimit)
  : configured_(aLimit)
{
  budget_.limit_ = aLimit;
}

void
MemoryAccount::SetLargestRequest(std::uint64_t aBytes)
{
  budget_.limit_ = std::max(configured_, kLargestRequests * aBytes);
}

void
MemoryAccount::Close(std::uint64_t aHolder)
{
  const auto found = holds_.find(aHolder);
  if (found == holds_.end()) {
    return;
  }
  MemoryHold& hold = *found->second;
  holds_.erase(found);
  hold.number_ = 0;
  hold.holder_ = nullptr;
  hold.isClosed_ = true;
  hold.onClose_();
}

bool
MemoryAccount::CloseStalled(std::uint32_t aGroup)
{
  const std::uint64_t holder =
    TakeLongestStalled(budget_, aGroup, ReadClock().mono_);
  Close(holder);
  return holder != 0;
}

void
MemoryAccount::Count(MemoryLimit aLimit)
{
  ++counts_[static_cast<std::size_t>(aLimit)];
  const TimePoint now = ReadClock().mono_;
  if (now < nextLogAt_) {
    return;
  }
  nextLogAt_ = now + kLogInterval;
  WriteLog(LogLevel::Warning,
           "limit reached",
           { { "limit", std::string(LimitName(aLimit)) },
             { "times", std::to_string(Counted(aLimit)) },
             { "held_bytes", std::to_string(budget_.used_) },
             { "limit_bytes", std::to_string(budget_.limit_) },
             { "holders", std::to_string(budget_.holders_.size()) } });
}

MemoryHold::MemoryHold(MemoryAccount* aAccount,
                       MemoryHolder aHolder,
                       std::function<void()> aOnClose)
  : account_(aAccount)
  , onClose_(std::move(aOnClose))
{
  if (account_ != nullptr) {
    aHolder.progressAt_ = ReadClock().mono_;
    number_ = AddHolder(account_->budget_, aHolder);
    holder_ = &account_->budget_.holders_.at(number_);
    account_->holds_.emplace(number_, this);
  }
}

MemoryHold::~MemoryHold()
{
  if (number_ != 0) {
    account_->holds_.erase(number_);
    RemoveHolder(account_->budget_, number_);
  }
}

bool
MemoryHold::Reserve(std::uint64_t aBytes)
{
  if (account_ == nullptr) {
    return true;
  }
  if (isClosed_) {
    return false;
  }
  const bool isNear =
    aBytes <= bytes_ + kGranule && bytes_ <= aBytes + kGranule;
  if (isNear && bytes_ != 0) {
    return true;
  }
  std::vector<std::uint64_t> closed;
  if (!camphorfield::Reserve(
        account_->budget_, number_, aBytes, ReadClock().mono_, closed)) {
    return false;
  }
  bytes_ = aBytes;
  for (const std::uint64_t holder : closed) {
    account_->Count(MemoryLimit::Stalled);
    account_->Close(holder);
  }
  return true;
}

bool
MemoryHold::ReserveOrExceed(std::uint64_t aBytes)
{
  if (Reserve(aBytes)) {
    return true;
  }
  const MemoryBudget& budget = account_->budget_;
  if (isClosed_ ||
      (aBytes > kSmallHolderBytes &&
       budget.used_ - bytes_ + aBytes > budget.limit_ + budget.limit_ / 4)) {
    return false;
  }
  Set(aBytes);
  return true;
}

void
MemoryHold::Set(std::uint64_t aBytes)
{
  if (number_ != 0 && aBytes != bytes_) {
    SetHeldBytes(account_->budget_, number_, aBytes);
    bytes_ = aBytes;
  }
}

void
MemoryHold::Enter(HolderState aState)
{
  if (holder_ != nullptr) {
    holder_->state_ = aState;
    RecordProgress();
  }
}

void
MemoryHold::RecordProgress()
{
  if (holder_ != nullptr) {
    holder_->progressAt_ = ReadClock().mono_;
  }
}

void
MemoryHold::RecordServed()
{
  if (holder_ != nullptr) {
    holder_->hasServed_ = true;
  }
}

} // namespace camphorfield
