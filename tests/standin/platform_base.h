/** Stand-in for the platform's object API and VM list. */
#pragma once

#include "standin/http_server.h"
#include "standin/http_type.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace camphorfield::standin {

using Clock = std::chrono::steady_clock;

/** Kinds of calls that are counted. */
enum class CallKind : std::uint8_t
{
  Get,
  List,
  Watch,
  Create,
  Update,
  Delete,
  Vms,
  Throttled, ///< Refused by a rate limit; not counted under its kind.
  End        ///< Number of kinds.
};

constexpr std::array<const char*, static_cast<std::size_t>(CallKind::End)>
  kCallKindNames{ "get",    "list",   "watch", "create",
                  "update", "delete", "vms",   "throttled" };

/** What the platform does with calls during an outage. */
enum class Outage : std::uint8_t
{
  Off,   ///< No outage.
  Error, ///< Answers 503.
  Drop,  ///< Closes the connection without an answer.
  Hang,  ///< Never answers.
  End    ///< Number of modes.
};

constexpr std::array<const char*, static_cast<std::size_t>(Outage::End)>
  kOutageNames{ "off", "error", "drop", "hang" };

/** Faults in force. */
struct PlatformFaults
{
  Outage outage_ = Outage::Off;
  Millis slow_{};                  ///< Delay of the reply, after the effect.
  Millis late_{};                  ///< Delay of the effect.
  double lostReplyShare_ = 0;      ///< Writes whose reply is lost.
  std::uint64_t lostReplies_ = 0;  ///< Next writes whose reply is lost.
  std::uint64_t lostRequests_ = 0; ///< Next writes lost before the effect.
  Millis stale_{};                 ///< Reads see the content of this age.
  std::string staleCopy_;          ///< Reads come from this named copy.
  double writesPerS_ = 0;          ///< Limit; zero: none.
  double readsPerS_ = 0;           ///< Limit; zero: none.
};

/** One stored object. */
struct StoredObject
{
  std::uint64_t version_ = 0;
  std::shared_ptr<const std::string> value_;
};

/** Whole content at one time. */
struct StoreCopy
{
  Clock::time_point at_;
  std::uint64_t revision_ = 0; ///< Version given last.
  std::map<std::string, StoredObject> objects_;
};

/** Watch that waits for a change of its key. */
struct WaitingWatch
{
  std::uint64_t id_ = 0;
  std::string key_;
  std::uint64_t version_ = 0;
  HttpRespond respond_;
  boost::asio::steady_timer timer_;
};

/** Calls in the current second and the largest second so far. */
struct CallRate
{
  std::int64_t second_ = 0;
  std::uint64_t count_ = 0;
  std::uint64_t peak_ = 0;
};

/** VM list with the time from which it is shown. */
struct VmListing
{
  Clock::time_point from_;
  std::string json_;
};

/** The platform stand-in: its state and its listener. */
struct PlatformStandin
{
  PlatformStandin(boost::asio::io_context& aContext,
                  const std::string& aAddress,
                  std::uint64_t aSeed);

  boost::asio::io_context& context_;
  std::mt19937_64 rng_;
  StoreCopy store_;
  std::deque<StoreCopy> recent_;           ///< Copies of the last seconds.
  std::map<std::string, StoreCopy> named_; ///< Copies made by an admin.
  PlatformFaults faults_;
  std::list<WaitingWatch> watches_;
  std::uint64_t nextWatch_ = 1;
  std::deque<VmListing> vms_;
  std::array<std::uint64_t, static_cast<std::size_t>(CallKind::End)> counts_{};
  CallRate reads_;
  CallRate writes_;
  HttpListener listener_; ///< Last: it calls into the rest.
};

/** Serve one call of the object API or the VM list. */
void
ServePlatformCall(PlatformStandin& aPlatform,
                  const HttpRequest& aRequest,
                  const HttpRespond& aRespond);

/** Serve one call under /admin. */
HttpReply
ServePlatformAdmin(PlatformStandin& aPlatform, const HttpRequest& aRequest);

/**
 * Count a call.
 * @param aLimit Calls in one second; zero: no limit.
 * @param aSecond The present second.
 * @return False when it exceeds the limit; it is not counted then.
 */
bool
CountRate(CallRate& aRate, double aLimit, std::int64_t aSecond);

/** Answer the watches whose object has changed. */
void
WakeWatches(PlatformStandin& aPlatform);

/** Content that reads see under the current faults. */
const StoreCopy&
VisibleStore(const PlatformStandin& aPlatform);

/** Wait for a change of the key. */
void
StartWatch(PlatformStandin& aPlatform,
           const HttpRequest& aRequest,
           const std::string& aKey,
           const HttpRespond& aRespond);

} // namespace camphorfield::standin
