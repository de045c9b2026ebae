/** Loads that compare placement by cost with placement by count. */
#pragma once

#include "gateway/replay_fixture.h"

#include <string>
#include <vector>

namespace camphorfield {

/** One load pattern. */
struct PlacementPattern
{
  const char* name_;
  void (*prepare_)(Replay& aReplay); ///< Adds servers, route and faults.
  std::vector<ReplayLoad> loads_;
  /** Loads from then on; empty: the same. */
  std::vector<ReplayLoad> later_;
};

/** Results of one kind of request. */
struct PlacementFigures
{
  std::string target_;
  double p50_ = 0.0; ///< Milliseconds.
  double p99_ = 0.0; ///< Milliseconds, of answered requests.
  double onTime_ = 0.0;
  double quality_ = 0.0;
  double goodput_ = 0.0; ///< Quality per second.
};

/** Results of one replay. */
struct PlacementRun
{
  std::vector<PlacementFigures> kinds_;
  double connectsPerRequest_ = 0.0;
  double sendsPerRequest_ = 0.0;
  double hedgesPerRequest_ = 0.0;
  double hedgesWon_ = 0.0; ///< Share of the hedges.
  double abandoned_ = 0.0; ///< Attempts left to finish, per request.
};

constexpr std::size_t kPatternSeconds = 10;

const std::vector<PlacementPattern>&
GetPlacementPatterns();

const PlacementPattern&
GetPlacementPattern(const std::string& aName);

/** Replays a pattern at a number of daemons; returns the mean over seeds from
 * 42 on. */
PlacementRun
RunPlacement(const PlacementPattern& aPattern,
             std::size_t aDaemons,
             PlacementMode aMode,
             std::size_t aSeeds);

} // namespace camphorfield
