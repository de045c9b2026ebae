/** Lost attempts and evidence on content that crashes servers. */
#pragma once

#include "core/crash_evidence.h"
#include "core/time_type.h"

#include <array>
#include <cstdint>
#include <string>

namespace camphorfield {

/** The latest answer of a server. */
struct LifeSign
{
  TimePoint at_{};
  /** When its connection was opened. The connection has one incarnation of the
   * server at its other end, but a later one may have the same id. */
  TimePoint openedAt_{};
};

/** Fingerprints under which evidence on a request is kept. */
struct ContentKeys
{
  std::uint64_t exact_ = 0; ///< Host, target, caller and body.
  /** The same without the query string, the caller, or both: requests may come
   * again with others. Shared by more requests. */
  std::array<std::uint64_t, 3> shared_{};

  bool operator==(const ContentKeys& aOther) const = default;
};

/** Content that was in flight when servers crashed. */
struct SuspectContent
{
  CrashEvidence evidence_;
  TimePoint until_{};
};

/** How an attempt ended without an answer. */
enum class AttemptLoss : std::uint8_t
{
  Broken,    ///< Its connection ended.
  Silent,    ///< It was given up because its server was silent.
  Cancelled, ///< Its request ended before.
  End        ///< Number of ways.
};

/** An attempt that ended without an answer. It is evidence against the content
 * if the server has crashed and the request ends without an answer. */
struct LostAttempt
{
  TimePoint at_{};
  TimePoint sentAt_{};
  std::int64_t lostUnixMicros_ = 0; ///< Unix time of at_, microseconds.
  std::int64_t sentUnixMicros_ = 0; ///< The same of sentAt_.
  AttemptLoss loss_ = AttemptLoss::Broken;
  std::uint64_t backend_ = 0;
  std::string server_;             ///< Its id.
  std::int64_t startedMillis_ = 0; ///< Of the server, in its entry.
  std::uint64_t serverHash_ = 0;   ///< Backend::incarnation_.
  std::uint64_t run_ = 0;          ///< Zero once the request has ended.
  std::uint32_t part_ = 0;
  ContentKeys content_{};
  std::uint64_t service_ = 0; ///< Hash of the part's service.
  bool isPartial_ = false;    ///< Other parts of the request were answered.
  /** Between these the server crashed, if it did, as far as this attempt tells.
   * Unix times in microseconds; zero: unknown. */
  std::int64_t aliveUnixMicros_ = 0;
  std::int64_t crashedByUnixMicros_ = 0;
  /** When the server first answered a later request on a newer connection, Unix
   * time in microseconds; zero: it hasn't. */
  std::int64_t answeredUnixMicros_ = 0;
  bool crashed_ = false;   ///< The server turned out to have crashed.
  bool isAssumed_ = false; ///< crashed_, but its fate isn't known yet.
  bool reported_ = false;  ///< Other daemons know of the server's silence.
  std::string requestId_;
  std::string caller_;
  std::string target_; ///< Host, path and query.
};

/** A server's silence as one daemon sees it. Unix times in microseconds. */
struct SilenceReport
{
  std::int64_t aliveUnixMicros_ = 0;     ///< Its latest answer; zero: unknown.
  std::int64_t crashedByUnixMicros_ = 0; ///< It had crashed then, if it did.
  TimePoint until_{};
};

} // namespace camphorfield
