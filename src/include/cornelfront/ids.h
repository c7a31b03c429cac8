#pragma once

/// \file
/// Identifiers of processes, tasks and submissions.

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cornelfront {

/// Identifies one incarnation of a process. The id is chosen randomly at every
/// start, so that a restarted process is never mistaken for its predecessor.
struct MemberId
{
  uint64_t value_ = 0;

  auto operator<=>(const MemberId&) const = default;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(value_);
  }
};

/// Identifies one attempt to run a task; unique across all entries.
struct TaskId
{
  MemberId owner_;
  uint64_t serial_ = 0;

  auto operator<=>(const TaskId&) const = default;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(owner_, serial_);
  }
};

/// Returns a random nonzero member id from the system's entropy source.
MemberId
NewMemberId();

/// Returns sixteen lowercase hexadecimal digits.
std::string
ToString(MemberId aId);

/// Returns "<owner>:<serial>".
std::string
ToString(const TaskId& aId);

/// Parses the output of ToString(MemberId); returns nullopt for anything else.
std::optional<MemberId>
ParseMemberId(std::string_view aText);

} // namespace cornelfront

template<>
struct std::hash<cornelfront::MemberId>
{
  size_t operator()(const cornelfront::MemberId& aId) const noexcept
  {
    return std::hash<uint64_t>{}(aId.value_);
  }
};

template<>
struct std::hash<cornelfront::TaskId>
{
  size_t operator()(const cornelfront::TaskId& aId) const noexcept
  {
    constexpr uint64_t kMix = 0x9E3779B97F4A7C15ULL;
    return std::hash<uint64_t>{}(aId.owner_.value_ ^ (aId.serial_ * kMix));
  }
};
