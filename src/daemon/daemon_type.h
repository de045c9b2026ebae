/** Settings of a daemon. */
#pragma once

#include "core/id_type.h"
#include "core/time_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorfield {

/** Checked settings of a daemon, from flags and environment variables. */
struct DaemonSettings
{
  std::string name_;               ///< Unique among the daemons.
  std::string failureDomain_;      ///< Failure domain of the VM.
  std::string callerAddress_;      ///< "IP:port" for callers.
  std::string peerAddress_;        ///< "IP:port" for other daemons.
  std::string operatorAddress_;    ///< "IP:port" for operators.
  std::string platformAddress_;    ///< "IP:port" of the object API.
  std::vector<std::string> seeds_; ///< Peer addresses to join through.
  std::string storePrefix_ = "camphorfield"; ///< Prefix of the platform's keys.
  std::uint32_t workers_ = 2;                ///< Number of threads.
  std::uint32_t timelineEvents_ = 65536;     ///< Capacity of the time line.
  Duration entriesKeepFor_ = std::chrono::seconds(5); ///< Cache time of an
                                                      ///< answer to "entries".
  Duration stopLimit_ = std::chrono::seconds(60); ///< Time limit of a graceful
                                                  ///< shutdown.
  std::uint64_t seed_ = 0;  ///< Seed of the random numbers.
  Incarnation incarnation_; ///< Start time in microseconds.
};

} // namespace camphorfield
