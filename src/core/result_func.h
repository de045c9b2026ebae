/** Access to the table of result codes. */
#pragma once

#include "core/result_type.h"
#include "table/result_table.h"

namespace camphorfield {

/**
 * Table row of a result code.
 * @param aCode Any code but ResultCode::End.
 */
const ResultRow&
GetResultRow(ResultCode aCode);

} // namespace camphorfield
