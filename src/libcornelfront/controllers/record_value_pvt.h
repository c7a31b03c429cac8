#pragma once

/// \file
/// Encoding of the values of records in the store.

#include "net/bounded_archive_pvt.h"

#include <sstream>
#include <string>
#include <string_view>

namespace cornelfront {

template<class Record>
std::string
EncodeValue(const Record& aRecord)
{
  std::ostringstream stream(std::ios::binary);
  {
    cereal::PortableBinaryOutputArchive archive(
      stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
    archive(aRecord);
  }
  return std::move(stream).str();
}

/// \throws DecodeError, cereal::Exception
template<class Record>
Record
DecodeValue(const std::string& aValue)
{
  if (aValue.empty() || aValue.front() != 1) {
    throw DecodeError("value is not a little-endian archive");
  }
  Record record;
  BoundedInputArchive archive(std::string_view(aValue).substr(1));
  archive(record);
  return record;
}

} // namespace cornelfront
