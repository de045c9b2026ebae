/** JSON form of answers to callers; described in docs/API.md. */
#pragma once

#include "machine/caller_type.h"
#include "runtime/http_type.h"

namespace camphorfield {

/** Renders the response to a query. */
HttpResponse
RenderQuery(const QueryAnswer& aAnswer);

/** Renders the response to an order. */
HttpResponse
RenderOrder(const OrderAnswer& aAnswer);

/** Renders the response to a request for entry daemons. */
HttpResponse
RenderEntries(const EntriesAnswer& aAnswer);

/** Renders a response with a result and a detail, for refused requests. */
HttpResponse
RenderRefusal(ResultCode aCode, std::string_view aDetail);

} // namespace camphorfield
