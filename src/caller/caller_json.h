/** JSON form of answers to callers; described in docs/API.md. */
#pragma once

#include "machine/caller_type.h"
#include "runtime/http_type.h"

namespace camphorfield {

/** Response to a query. */
HttpResponse
RenderQuery(const QueryAnswer& aAnswer);

/** Response to an order. */
HttpResponse
RenderOrder(const OrderAnswer& aAnswer);

/** Response to a request for entries. */
HttpResponse
RenderEntries(const EntriesAnswer& aAnswer);

/** Response that only tells a result, for requests refused at the edge. */
HttpResponse
RenderRefusal(ResultCode aCode, std::string_view aDetail);

} // namespace camphorfield
