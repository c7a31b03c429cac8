#pragma once

/// \file
/// A record of a topic that keeps the newest record of each key.

#include <string>

namespace cornelfront {

/// Without a value it deletes the key.
struct KeyedRecord
{
  std::string key_;
  std::string value_;

  bool operator==(const KeyedRecord&) const = default;
};

} // namespace cornelfront
