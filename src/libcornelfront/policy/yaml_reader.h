#pragma once

/// \file
/// Reads YAML mappings with checks of types and bounds. Collects every error
/// with its line and dotted key instead of stopping at the first.

#include "cornelfront/schema.h"
#include "cornelfront/settings.h"

#include <yaml-cpp/yaml.h>

#include <cmath>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace cornelfront {

/// Parses "300ms", "2s" or "5min": a whole number and a unit.
std::optional<Millis>
ParseDuration(std::string_view aText);

/// Parses "512B", "64KiB", "1MiB" or "1GiB": a whole number and a unit.
std::optional<uint64_t>
ParseByteSize(std::string_view aText);

/// Parses "<ipv4>:<port>".
std::optional<Endpoint>
ParseEndpoint(std::string_view aText);

/// Formats a duration so that ParseDuration parses it back: in seconds if it is
/// a whole number of them, otherwise in milliseconds.
std::string
FormatDuration(Millis aDuration);

/// Returns true if the text is not empty and consists of lowercase letters,
/// digits and dashes.
bool
IsPlainName(std::string_view aText);

/// Range of allowed values, including both ends.
template<class Value>
struct Bounds
{
  Value min_;
  Value max_;

  bool Contains(Value aValue) const { return aValue >= min_ && aValue <= max_; }
};

enum class Presence
{
  Optional,
  Required,
};

/// Parses the text of a whole file. A syntax error is added to \p aErrors and
/// yields an empty node.
YAML::Node
LoadYaml(const std::string& aYaml, std::vector<FileError>& aErrors);

/// Reads one mapping. Each getter sets its target and returns true only if the
/// key is present and its value is valid.
class YamlReader
{
public:
  /// \p aKey is the dotted path of the mapping, empty for the file's root.
  /// \p aErrors must outlive the reader.
  YamlReader(const YAML::Node& aNode,
             std::string aKey,
             std::vector<FileError>& aErrors);

  bool Text(const std::string& aName,
            std::string& aTarget,
            Presence aPresence = Presence::Optional);
  /// A text for which IsPlainName is true.
  bool Name(const std::string& aName,
            std::string& aTarget,
            Presence aPresence = Presence::Optional);
  bool Boolean(const std::string& aName,
               bool& aTarget,
               Presence aPresence = Presence::Optional);
  bool Duration(const std::string& aName,
                Millis& aTarget,
                const Bounds<Millis>& aBounds,
                Presence aPresence = Presence::Optional);
  bool ByteSize(const std::string& aName,
                uint64_t& aTarget,
                const Bounds<uint64_t>& aBounds,
                Presence aPresence = Presence::Optional);
  bool Address(const std::string& aName,
               Endpoint& aTarget,
               Presence aPresence = Presence::Optional);
  /// A sequence of endpoints.
  bool Addresses(const std::string& aName,
                 std::vector<Endpoint>& aTarget,
                 Presence aPresence = Presence::Optional);

  /// A whole or, for floating point targets, a decimal number.
  template<class Value>
  bool Number(const std::string& aName,
              Value& aTarget,
              const Bounds<Value>& aBounds,
              Presence aPresence = Presence::Optional);

  /// One of the names in \p aChoices, which lists pairs of name and value.
  template<class Value>
  bool Choice(const std::string& aName,
              Value& aTarget,
              const std::vector<std::pair<std::string, Value>>& aChoices,
              Presence aPresence = Presence::Optional);

  /// Returns a reader of the mapping under \p aName; nullopt if it is absent or
  /// not a mapping.
  std::optional<YamlReader> Child(const std::string& aName,
                                  Presence aPresence = Presence::Optional);

  /// Returns readers of the mappings under all keys not read yet, in the order
  /// of the file.
  std::vector<std::pair<std::string, YamlReader>> Children();

  /// Adds an error for the key \p aName, with the line of the key or, if it is
  /// absent, of the mapping.
  void AddError(const std::string& aName, std::string aMessage);

  /// Adds an error for each key that no getter has read and for each duplicate
  /// key.
  void CheckKeys();

private:
  std::optional<YAML::Node> Find(const std::string& aName, Presence aPresence);
  std::optional<std::string> Scalar(const std::string& aName,
                                    Presence aPresence);
  std::string PathOf(const std::string& aName) const;
  void AddRangeError(const std::string& aName,
                     const std::string& aValue,
                     const std::string& aMin,
                     const std::string& aMax);
  std::optional<double> NumberValue(const std::string& aName,
                                    bool aInteger,
                                    Presence aPresence);

  YAML::Node node_;
  std::string key_;
  std::vector<FileError>* errors_;
  std::set<std::string> readKeys_;
};

/// Formats a number as the shortest decimal text that parses back to it.
std::string
FormatNumber(double aNumber);

template<class Value>
bool
YamlReader::Number(const std::string& aName,
                   Value& aTarget,
                   const Bounds<Value>& aBounds,
                   Presence aPresence)
{
  const auto number = NumberValue(aName, std::is_integral_v<Value>, aPresence);
  if (!number) {
    return false;
  }
  const auto low = static_cast<double>(aBounds.min_);
  const auto high = static_cast<double>(aBounds.max_);
  if (*number < low || *number > high) {
    AddRangeError(
      aName, FormatNumber(*number), FormatNumber(low), FormatNumber(high));
    return false;
  }
  aTarget = static_cast<Value>(*number);
  return true;
}

template<class Value>
bool
YamlReader::Choice(const std::string& aName,
                   Value& aTarget,
                   const std::vector<std::pair<std::string, Value>>& aChoices,
                   Presence aPresence)
{
  const auto text = Scalar(aName, aPresence);
  if (!text) {
    return false;
  }
  std::string names;
  for (const auto& [name, value] : aChoices) {
    if (*text == name) {
      aTarget = value;
      return true;
    }
    names += (names.empty() ? "'" : ", '") + name + "'";
  }
  AddError(aName, "'" + *text + "' is not one of " + names);
  return false;
}

} // namespace cornelfront
