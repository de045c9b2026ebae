/** Commands for operators. Each returns the exit status of the process. */
#pragma once

#include "cli/settings.h"

namespace camphorfield {

/** Checks a change document against the objects in force. */
int
RunCheck(const OperatorFlags& aFlags);

/** Publishes a change document. */
int
RunApply(const OperatorFlags& aFlags);

/** Prints the objects in force. */
int
RunGet(const OperatorFlags& aFlags);

/** Prints the earlier generations. */
int
RunHistory(const OperatorFlags& aFlags);

/** Publishes an earlier generation's content as a new one. */
int
RunRollback(const OperatorFlags& aFlags);

/** Prints members, generations in force and servers. */
int
RunStatus(const OperatorFlags& aFlags);

/** Begins a daemon's graceful shutdown. */
int
RunDrain(const OperatorFlags& aFlags);

/** Prints the entry daemons; the flags hold a daemon's caller address. */
int
RunEntries(const OperatorFlags& aFlags);

/** Prints the events of all daemons in causal order. */
int
RunTimeline(const OperatorFlags& aFlags);

} // namespace camphorfield
