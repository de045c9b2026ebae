/** Names of time line events, in the order of TimelineKind. */
#pragma once

#include "machine/timeline_type.h"

#include <array>
#include <cstddef>

namespace camphorfield {

constexpr std::array<const char*, static_cast<std::size_t>(TimelineKind::End)>
  kTimelineKindNames{
    "daemon_started",
    "daemon_ready",
    "daemon_stopping",
    "daemon_stopped",
    "generation_adopted",
    "generation_refused",
    "config_accepted",
    "config_rejected",
    "store_lost",
    "store_found",
    "member_joined",
    "member_suspected",
    "member_dead",
    "member_leaving",
    "member_alive",
    "server_ejected",
    "server_restored",
    "server_leaving",
    "connection_opened",
    "connection_silent",
    "query_started",
    "query_answered",
    "sub_sent",
    "sub_hedged",
    "sub_retried",
    "sub_answered",
    "sub_discarded",
    "request_refused",
    "request_quarantined",
    "order_claimed",
    "order_dispatched",
    "order_answered",
    "order_forwarded",
    "range_taken",
    "range_lost",
  };

} // namespace camphorfield
