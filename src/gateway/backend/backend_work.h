/** What a daemon knows of the work on one server, for PlacementMode::Cost. */
#pragma once

#include "core/time_type.h"

#include <array>
#include <cstdint>

namespace camphorfield {

/** How a server is chosen. */
enum class PlacementMode : std::uint8_t
{
  Count, ///< By the number of requests ahead and the route's median latency.
  Cost,  ///< By the expected work of the request and of those ahead of it.
  End    ///< Number of modes.
};

/** Expected time of a request on one server, in microseconds. */
struct PlacementEstimate
{
  double work_ = 0.0;     ///< At usual speed.
  double wait_ = 0.0;     ///< Until a slot is free, at usual speed.
  double speed_ = 1.0;    ///< Factor on the time of work; above 1: slow.
  double ratio_ = 1.0;    ///< Part of speed_ that the server doesn't report.
  double stall_ = 0.0;    ///< Expected rest of a pause.
  bool reported_ = false; ///< Most of wait_ rests on the server's report.

  double Total() const { return (work_ + wait_) * speed_ + stall_; }
};

constexpr std::size_t kNotedCandidates = 3;

/** Why a server was chosen for a part, for the log. */
struct PlacementNote
{
  float work_ = 0.0F; ///< Expected, microseconds; zero: not placed by cost.
  std::array<std::uint64_t, kNotedCandidates> servers_{}; ///< Chosen one first.
  std::array<float, kNotedCandidates> total_{}; ///< Expected, microseconds.
  std::array<float, kNotedCandidates> wait_{};  ///< Of these, work ahead.
};

/** Learned state of one server. */
struct BackendWork
{
  double ratio_ = 1.0; ///< Observed time relative to the expected one.
  TimePoint ratioAt_{};
  double slowness_ = 1.0;     ///< Moving average of the reported slowness.
  double others_ = 0.0;       ///< Other daemons' requests in the latest report.
  double othersMean_ = 0.0;   ///< Moving average of others_.
  std::uint32_t reports_ = 0; ///< In the averages.
  double trust_ = 1.0;        ///< In its reports of waiting requests, 0 to 1.
  double work_ = 0.0;         ///< Mean work of a request; zero: unknown.
  TimePoint answeredAt_{};    ///< Latest answer.
  double peak_ = 0.0;         ///< Decaying maximum of own requests in flight.
  TimePoint peakAt_{};        ///< Latest time with own requests in flight.
};

} // namespace camphorfield
