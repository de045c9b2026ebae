// Reads each kind of the store's objects with one fiber and one connection, so
// that a failing call for one kind doesn't delay the others.
#include "runtime/store_reader.h"

#include "observe/log.h"
#include "runtime/clock.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <random>

namespace camphorfield {

namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr Duration kMaxPollInterval = std::chrono::milliseconds(100);
/** The same until the table has been read or received for the first time. */
constexpr Duration kFirstPollInterval = std::chrono::milliseconds(20);

/** Least time between log lines on unreadable values. */
constexpr Duration kUnreadableLogInterval = std::chrono::seconds(5);

/** One table and its connection to the store. */
struct TableReader
{
  TableSync table_;
  TimePoint nextUnreadableLogAt_{};
  std::unique_ptr<HttpClient> client_; ///< Null while not connected.
};

} // namespace

/** State shared by StoreReader and its fibers. */
struct StoreReaderState
{
  Worker& worker_;
  MemoryAccount* account_;
  StoreCodec codec_;
  std::string address_;
  TableHandler handler_;
  std::vector<TableReader> readers_;
  Rng rng_{ std::random_device{}() };
  std::uint64_t calls_ = 0;
  std::uint64_t unreadable_ = 0; ///< Values in replies.
};

namespace {

StoreReply
Exchange(StoreReaderState& aState, TableReader& aReader, const StoreCall& aCall)
{
  HttpExchange exchange;
  std::string fault;
  ++aState.calls_;
  if (aReader.client_ == nullptr) {
    aReader.client_ =
      std::make_unique<HttpClient>(aState.worker_.Context(), aState.account_);
    exchange.end_ = aReader.client_->Connect(aState.address_, kConnectTimeout);
  }
  if (exchange.end_ == HttpEnd::Ok) {
    exchange = aReader.client_->Exchange(aState.codec_.encodeCall_(aCall),
                                         aCall.timeout_);
  }
  StoreReply reply = aState.codec_.decodeReply_(aCall, exchange, fault);
  reply.op_ = aCall.op_;
  if (exchange.end_ != HttpEnd::Ok || exchange.response_.close_) {
    aReader.client_.reset();
  }
  if (!fault.empty() && aReader.table_.failures_ == 0) {
    WriteLog(LogLevel::Warning,
             "store call failed",
             { { "kind", aCall.kind_ }, { "reason", fault } });
  }
  return reply;
}

void
RecordUnreadable(StoreReaderState& aState,
                 TableReader& aReader,
                 std::size_t aValues)
{
  aState.unreadable_ += aValues;
  const TimePoint now = ReadClock().mono_;
  if (aValues == 0 || now < aReader.nextUnreadableLogAt_) {
    return;
  }
  aReader.nextUnreadableLogAt_ = now + kUnreadableLogInterval;
  WriteLog(LogLevel::Warning,
           "unreadable values in the store ignored",
           { { "kind", aReader.table_.kind_ },
             { "values", std::to_string(aValues) } });
}

void
RunReader(const std::shared_ptr<StoreReaderState>& aState, std::size_t aTable)
{
  TableReader& reader = aState->readers_[aTable];
  while (true) {
    const TimePoint now = ReadClock().mono_;
    const auto call = NextStoreCall(reader.table_, now);
    if (!call) {
      const Duration left = reader.table_.nextCallAt_ - now;
      const Duration longest =
        reader.table_.complete_ ? kMaxPollInterval : kFirstPollInterval;
      const Duration nap =
        reader.table_.passive_ ? longest : std::min(left, longest);
      boost::this_fiber::sleep_for(nap);
      continue;
    }
    StoreReply reply = Exchange(*aState, reader, *call);
    RecordUnreadable(*aState, reader, reply.unreadable_);
    const TableChange change = TakeStoreReply(
      reader.table_, std::move(reply), ReadClock().mono_, aState->rng_);
    aState->handler_(aTable, change);
  }
}

} // namespace

StoreReader::StoreReader(Worker& aWorker,
                         MemoryAccount* aAccount,
                         StoreCodec aCodec,
                         std::string aAddress,
                         const std::vector<std::string>& aKinds,
                         TableHandler aHandler)
  : state_(
      std::make_shared<StoreReaderState>(StoreReaderState{ aWorker,
                                                           aAccount,
                                                           aCodec,
                                                           std::move(aAddress),
                                                           std::move(aHandler),
                                                           {} }))
{
  for (const std::string& kind : aKinds) {
    state_->readers_.emplace_back();
    state_->readers_.back().table_.kind_ = kind;
  }
}

void
StoreReader::Start()
{
  for (std::size_t i = 0; i < state_->readers_.size(); ++i) {
    state_->worker_.Spawn([state = state_, i]() { RunReader(state, i); });
  }
}

TableSync&
StoreReader::Table(std::size_t aTable)
{
  return state_->readers_[aTable].table_;
}

std::size_t
StoreReader::Count() const
{
  return state_->readers_.size();
}

// Aborted calls count as failed, after which the tables are read anew.
void
StoreReader::Restart()
{
  for (TableReader& reader : state_->readers_) {
    if (reader.client_ != nullptr) {
      reader.client_->Abort();
    }
  }
}

std::uint64_t
StoreReader::Calls() const
{
  return state_->calls_;
}

std::uint64_t
StoreReader::UnreadableValues() const
{
  return state_->unreadable_;
}

} // namespace camphorfield
