#pragma once

/// \file
/// Record of a compacted topic, which keeps only the newest record of each key.

#include <string>

namespace cornelfront {

/// A record with an empty value deletes the key.
struct KeyedRecord
{
  std::string key_;
  std::string value_;

  bool operator==(const KeyedRecord&) const = default;
};

} // namespace cornelfront
