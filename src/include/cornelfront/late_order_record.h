#pragma once

/// \file
/// Late orders of a sidecar as a record in the store.

#include "cornelfront/ids.h"
#include "cornelfront/keyed_record.h"
#include "cornelfront/run_messages.h"

#include <optional>
#include <string>
#include <vector>

namespace cornelfront {

/// One batch of a sidecar process; others follow under the same name.
struct LateOrderRecord
{
  std::string sidecarName_;
  MemberId sidecar_;
  /// Their times count from the reading of the record, which is later than its
  /// writing.
  std::vector<LateOrder> orders_;
};

KeyedRecord
EncodeLateOrders(const LateOrderRecord& aRecord);

/// Returns nullopt if the record is malformed, which is logged.
std::optional<LateOrderRecord>
DecodeLateOrders(const KeyedRecord& aRecord);

} // namespace cornelfront
