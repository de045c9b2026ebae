/** Request rates of organisations, kept over all daemons. */
#pragma once

#include "core/id_type.h"
#include "core/rng_type.h"
#include "core/time_type.h"
#include "gateway/gateway_type.h"
#include "machine/cap_type.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace camphorfield {

/** How far all daemons together may exceed a cap. */
struct CapTolerance
{
  Duration window_{}; ///< Requests are counted over this time; zero: no caps.
  double overage_ = 0.0; ///< Share of the requests in a window.
  double slack_ = 0.0;   ///< Requests in a window.
};

/** This daemon's view of the fleet. */
struct CapView
{
  std::vector<DaemonId> members_; ///< Alive and not leaving; sorted.
  bool majority_ = false; ///< They are more than half of the largest fleet.
  std::uint32_t entryDaemons_ = 0; ///< Zero: unknown.
};

/** What the owner of a cap knows. */
struct OwnedCap
{
  bool active_ = false;    ///< This daemon is the owner in its own view.
  TimePoint grantsFrom_{}; ///< Another daemon may grant until then.
  /** When it became the owner, if that was by its own start; else zero. */
  TimePoint joinedAt_{};
  double tokens_ = 0.0; ///< At tokensAt_.
  TimePoint tokensAt_{};
  TimePoint nextFree_{}; ///< When the callers told so far have returned.
  TimePoint endedAt_{};  ///< When it was owner last; zero: never.
  DaemonId releasedTo_;  ///< Grants instead until releasedUntil_.
  TimePoint releasedUntil_{};
};

/** What a daemon that sends requests under a cap knows. */
struct BorrowedCap
{
  double tokens_ = 0.0;
  TimePoint tokensUntil_{};
  bool asking_ = false; ///< An answer of the owner is due.
  TimePoint askedAt_{};
  TimePoint deniedUntil_{}; ///< The owner has no token before.
  TimePoint silentUntil_{}; ///< The owner doesn't answer.
  std::uint32_t timeoutsInRow_ = 0;
  Duration retryAfter_{};     ///< As the owner said.
  std::uint32_t refused_ = 0; ///< Since the owner was asked last.
  double demand_ = 0.0;       ///< Requests a second, moving average.
  TimePoint demandAt_{};
  std::int64_t fallbackWindow_ = -1; ///< Number of the window.
  std::uint32_t fallbackTokens_ = 0; ///< Left in it.
};

/** A request that waits for a token. */
struct CapWaiter
{
  std::uint64_t request_ = 0;
  TimePoint until_{};
};

/** The cap of one organisation. */
struct RateCap
{
  std::uint64_t organisation_ = 0; ///< Hash of its name.
  double perSecond_ = 0.0;
  double burst_ = 0.0;
  DaemonId owner_; ///< In this daemon's view; zero: none.
  std::uint64_t ownerRank_ = 0;
  DaemonId hint_; ///< Owner as another daemon says; until the view changes.
  OwnedCap owned_;
  BorrowedCap borrowed_;
  std::vector<CapWaiter> waiting_; ///< In the order of time; mostly empty.
};

/** When to look for requests that have waited too long. */
struct CapWait
{
  std::uint64_t organisation_ = 0;
  TimePoint until_{};
};

/** Counters since the start of the daemon. */
struct CapStats
{
  std::uint64_t asks_ = 0;      ///< Messages to owners.
  std::uint64_t granted_ = 0;   ///< Tokens granted to other daemons.
  std::uint64_t refused_ = 0;   ///< Requests above a cap.
  std::uint64_t timeouts_ = 0;  ///< Requests whose owner didn't answer in time.
  std::uint64_t fallback_ = 0;  ///< Requests admitted without an owner.
  std::uint64_t takeovers_ = 0; ///< Caps that this daemon became the owner of.
};

/** All caps. */
struct RateCaps
{
  CapTolerance tolerance_;
  DaemonId self_;
  CapView view_;
  std::uint32_t mostEntryDaemons_ = 0; ///< Since the start.
  std::size_t grownTo_ = 0;            ///< See HasGrown.
  TimePoint startedAt_{};
  TimePoint seenAt_{}; ///< Latest event, to detect pauses of this daemon.
  std::map<std::uint64_t, RateCap> caps_; ///< By hash of the name.
  std::deque<CapWait> waits_; ///< Of all caps, in the order of time.
  CapStats stats_;
};

/** Answer to a request for a token. */
struct CapVerdict
{
  std::uint64_t request_ = 0;
  bool admitted_ = false;
  Duration retryAfter_{};
  const char* reason_ = ""; ///< Of a refusal.
};

/** Decisions of the caps. */
struct CapOutput
{
  std::vector<CapSend> sends_;
  std::vector<CapVerdict> verdicts_;
};

RateCaps
MakeRateCaps(const CapTolerance& aTolerance, DaemonId aSelf);

/** Takes the caps of a configuration; tokens are kept. */
void
CapsAdoptConfig(RateCaps& aCaps,
                const GatewayConfig& aConfig,
                TimePoint aNow,
                CapOutput& aOut);

/** Takes a new view of the fleet. */
void
CapsAdoptView(RateCaps& aCaps,
              const CapView& aView,
              TimePoint aNow,
              CapOutput& aOut);

/** The cap of an organisation; null: it has none. */
RateCap*
FindCap(RateCaps& aCaps, std::uint64_t aOrganisation);

/** The same. */
RateCap*
FindCap(RateCaps& aCaps, const Organisation& aOrganisation);

/** Takes a token for a request. Its verdict may come later. */
void
TakeCapToken(RateCaps& aCaps,
             RateCap& aCap,
             std::uint64_t aRequest,
             TimePoint aNow,
             Rng& aRng,
             CapOutput& aOut);

/** Returns the token of a request that was admitted, but not sent. */
void
ReturnCapToken(RateCaps& aCaps, RateCap& aCap, TimePoint aNow);

/** Handles a message of another daemon. */
void
CapsOnMessage(RateCaps& aCaps,
              DaemonId aFrom,
              const CapMessage& aMessage,
              TimePoint aNow,
              Rng& aRng,
              CapOutput& aOut);

/** Ends waits that take too long. Call at CapsNextWake, and at least several
 * times a second. */
void
CapsOnTick(RateCaps& aCaps, TimePoint aNow, Rng& aRng, CapOutput& aOut);

/** When the next wait ends. */
TimePoint
CapsNextWake(const RateCaps& aCaps);

/** Gives up what this daemon owns for a while, because it was suspended and
 * another daemon may have taken over. */
void
CapsAfterSuspension(RateCaps& aCaps, TimePoint aNow);

} // namespace camphorfield
