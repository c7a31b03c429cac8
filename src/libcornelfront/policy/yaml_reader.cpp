#include "policy/yaml_reader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <map>

namespace cornelfront {
namespace {

struct Unit
{
  std::string_view name_;
  uint64_t factor_;
};

constexpr std::array kDurationUnits{ Unit{ "ms", 1 },
                                     Unit{ "s", 1000 },
                                     Unit{ "min", 60000 } };
constexpr std::array kByteUnits{ Unit{ "B", 1 },
                                 Unit{ "KiB", 1ULL << 10 },
                                 Unit{ "MiB", 1ULL << 20 },
                                 Unit{ "GiB", 1ULL << 30 } };

template<class Number>
std::optional<Number>
ParseNumber(std::string_view aText)
{
  Number number{};
  const char* const end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

template<class Units>
std::optional<uint64_t>
ParseWithUnit(std::string_view aText, const Units& aUnits)
{
  const size_t digits =
    std::min(aText.find_first_not_of("0123456789"), aText.size());
  const auto number = ParseNumber<uint64_t>(aText.substr(0, digits));
  if (!number) {
    return std::nullopt;
  }
  for (const Unit& unit : aUnits) {
    constexpr uint64_t kMax = std::numeric_limits<int64_t>::max();
    if (unit.name_ == aText.substr(digits) && *number <= kMax / unit.factor_) {
      return *number * unit.factor_;
    }
  }
  return std::nullopt;
}

bool
IsIpv4(std::string_view aText)
{
  constexpr int kOctets = 4;
  for (int octet = 1; octet <= kOctets; ++octet) {
    const size_t dot = aText.find('.');
    const std::string_view part = aText.substr(0, dot);
    const bool canonical = part == "0" || part.substr(0, 1) != "0";
    if (!canonical || !ParseNumber<uint8_t>(part)) {
      return false;
    }
    if (dot == std::string_view::npos) {
      return octet == kOctets;
    }
    aText.remove_prefix(dot + 1);
  }
  return false;
}

int
LineOf(const YAML::Node& aNode)
{
  const YAML::Mark mark = aNode.Mark();
  return mark.is_null() ? 0 : mark.line + 1;
}

std::string
FormatBytes(uint64_t aBytes)
{
  const auto unit = std::find_if(
    kByteUnits.rbegin(), kByteUnits.rend(), [&](const Unit& aUnit) {
      return aBytes % aUnit.factor_ == 0 && aBytes >= aUnit.factor_;
    });
  const Unit& chosen = unit == kByteUnits.rend() ? kByteUnits[0] : *unit;
  return std::to_string(aBytes / chosen.factor_) + std::string(chosen.name_);
}

} // namespace

std::optional<Millis>
ParseDuration(std::string_view aText)
{
  const auto millis = ParseWithUnit(aText, kDurationUnits);
  return millis ? std::optional(Millis(*millis)) : std::nullopt;
}

std::optional<uint64_t>
ParseByteSize(std::string_view aText)
{
  return ParseWithUnit(aText, kByteUnits);
}

std::optional<Endpoint>
ParseEndpoint(std::string_view aText)
{
  const size_t colon = aText.find(':');
  if (colon == std::string_view::npos || !IsIpv4(aText.substr(0, colon))) {
    return std::nullopt;
  }
  const auto port = ParseNumber<uint16_t>(aText.substr(colon + 1));
  if (!port) {
    return std::nullopt;
  }
  return Endpoint{ std::string(aText.substr(0, colon)), *port };
}

std::string
FormatDuration(Millis aDuration)
{
  constexpr int kMillisPerSecond = 1000;
  if (aDuration.count() % kMillisPerSecond == 0) {
    return std::to_string(aDuration.count() / kMillisPerSecond) + "s";
  }
  return std::to_string(aDuration.count()) + "ms";
}

std::string
FormatNumber(double aNumber)
{
  std::array<char, 32> buffer{};
  const auto result =
    std::to_chars(buffer.data(), buffer.data() + buffer.size(), aNumber);
  return { buffer.data(), result.ptr };
}

bool
IsPlainName(std::string_view aText)
{
  const auto allowed = [](char aChar) {
    return (aChar >= 'a' && aChar <= 'z') || (aChar >= '0' && aChar <= '9') ||
           aChar == '-';
  };
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), allowed);
}

YAML::Node
LoadYaml(const std::string& aYaml, std::vector<FileError>& aErrors)
{
  try {
    return YAML::Load(aYaml);
  } catch (const YAML::Exception& error) {
    const int line = error.mark.is_null() ? 0 : error.mark.line + 1;
    aErrors.push_back({ line, "", "not valid YAML: " + error.msg });
    return {};
  }
}

YamlReader::YamlReader(const YAML::Node& aNode,
                       std::string aKey,
                       std::vector<FileError>& aErrors)
  : node_(aNode)
  , key_(std::move(aKey))
  , errors_(&aErrors)
{
}

std::string
YamlReader::PathOf(const std::string& aName) const
{
  return key_.empty() ? aName : key_ + "." + aName;
}

void
YamlReader::AddError(const std::string& aName, std::string aMessage)
{
  int line = LineOf(node_);
  if (node_.IsMap()) {
    for (const auto& item : node_) {
      if (item.first.IsScalar() && item.first.Scalar() == aName) {
        line = LineOf(item.first);
      }
    }
  }
  errors_->push_back({ line, PathOf(aName), std::move(aMessage) });
}

std::optional<YAML::Node>
YamlReader::Find(const std::string& aName, Presence aPresence)
{
  readKeys_.insert(aName);
  if (node_.IsMap()) {
    for (const auto& item : node_) {
      if (item.first.IsScalar() && item.first.Scalar() == aName) {
        return item.second;
      }
    }
  }
  if (aPresence == Presence::Required) {
    AddError(aName, "is required");
  }
  return std::nullopt;
}

std::optional<std::string>
YamlReader::Scalar(const std::string& aName, Presence aPresence)
{
  const auto node = Find(aName, aPresence);
  if (!node) {
    return std::nullopt;
  }
  if (!node->IsScalar()) {
    AddError(aName, "must be a single value");
    return std::nullopt;
  }
  return node->Scalar();
}

bool
YamlReader::Text(const std::string& aName,
                 std::string& aTarget,
                 Presence aPresence)
{
  const auto text = Scalar(aName, aPresence);
  if (!text) {
    return false;
  }
  aTarget = *text;
  return true;
}

bool
YamlReader::Name(const std::string& aName,
                 std::string& aTarget,
                 Presence aPresence)
{
  const auto text = Scalar(aName, aPresence);
  if (!text) {
    return false;
  }
  if (!IsPlainName(*text)) {
    AddError(aName,
             "'" + *text +
               "' must consist of lowercase letters, digits and dashes");
    return false;
  }
  aTarget = *text;
  return true;
}

bool
YamlReader::Boolean(const std::string& aName, bool& aTarget, Presence aPresence)
{
  const auto text = Scalar(aName, aPresence);
  if (!text) {
    return false;
  }
  if (*text != "true" && *text != "false") {
    AddError(aName, "'" + *text + "' must be true or false");
    return false;
  }
  aTarget = *text == "true";
  return true;
}

bool
YamlReader::Duration(const std::string& aName,
                     Millis& aTarget,
                     const Bounds<Millis>& aBounds,
                     Presence aPresence)
{
  const auto text = Scalar(aName, aPresence);
  if (!text) {
    return false;
  }
  const auto duration = ParseDuration(*text);
  if (!duration) {
    AddError(aName,
             "'" + *text +
               "' must be a whole number with the unit ms, s or min");
    return false;
  }
  if (!aBounds.Contains(*duration)) {
    AddRangeError(
      aName, *text, FormatDuration(aBounds.min_), FormatDuration(aBounds.max_));
    return false;
  }
  aTarget = *duration;
  return true;
}

bool
YamlReader::ByteSize(const std::string& aName,
                     uint64_t& aTarget,
                     const Bounds<uint64_t>& aBounds,
                     Presence aPresence)
{
  const auto text = Scalar(aName, aPresence);
  if (!text) {
    return false;
  }
  const auto bytes = ParseByteSize(*text);
  if (!bytes) {
    AddError(aName,
             "'" + *text +
               "' must be a whole number with the unit B, KiB, MiB or GiB");
    return false;
  }
  if (!aBounds.Contains(*bytes)) {
    AddRangeError(
      aName, *text, FormatBytes(aBounds.min_), FormatBytes(aBounds.max_));
    return false;
  }
  aTarget = *bytes;
  return true;
}

bool
YamlReader::Address(const std::string& aName,
                    Endpoint& aTarget,
                    Presence aPresence)
{
  const auto text = Scalar(aName, aPresence);
  if (!text) {
    return false;
  }
  const auto endpoint = ParseEndpoint(*text);
  if (!endpoint) {
    AddError(aName, "'" + *text + "' must be an IPv4 address and a port");
    return false;
  }
  aTarget = *endpoint;
  return true;
}

bool
YamlReader::Addresses(const std::string& aName,
                      std::vector<Endpoint>& aTarget,
                      Presence aPresence)
{
  const auto node = Find(aName, aPresence);
  if (!node) {
    return false;
  }
  if (!node->IsSequence()) {
    AddError(aName, "must be a list of IPv4 addresses with ports");
    return false;
  }
  std::vector<Endpoint> endpoints;
  for (const auto& item : *node) {
    const std::string text = item.IsScalar() ? item.Scalar() : "";
    const auto endpoint = ParseEndpoint(text);
    if (!endpoint) {
      errors_->push_back(
        { LineOf(item),
          PathOf(aName),
          "'" + text + "' must be an IPv4 address and a port" });
      continue;
    }
    endpoints.push_back(*endpoint);
  }
  const bool complete = endpoints.size() == node->size();
  if (complete) {
    aTarget = std::move(endpoints);
  }
  return complete;
}

std::optional<double>
YamlReader::NumberValue(const std::string& aName,
                        bool aInteger,
                        Presence aPresence)
{
  const auto text = Scalar(aName, aPresence);
  if (!text) {
    return std::nullopt;
  }
  const auto number =
    aInteger ? ParseNumber<int64_t>(*text) : std::optional<int64_t>();
  if (number) {
    return static_cast<double>(*number);
  }
  const auto decimal = aInteger ? std::nullopt : ParseNumber<double>(*text);
  if (!decimal || !std::isfinite(*decimal)) {
    AddError(aName,
             "'" + *text + "' must be a " + (aInteger ? "whole " : "") +
               "number");
    return std::nullopt;
  }
  return decimal;
}

std::optional<YamlReader>
YamlReader::Child(const std::string& aName, Presence aPresence)
{
  const auto node = Find(aName, aPresence);
  if (!node) {
    return std::nullopt;
  }
  if (!node->IsMap()) {
    AddError(aName, "must be a mapping");
    return std::nullopt;
  }
  return YamlReader(*node, PathOf(aName), *errors_);
}

std::vector<std::pair<std::string, YamlReader>>
YamlReader::Children()
{
  std::vector<std::pair<std::string, YamlReader>> children;
  if (!node_.IsMap()) {
    return children;
  }
  for (const auto& item : node_) {
    if (!item.first.IsScalar() || readKeys_.count(item.first.Scalar()) > 0) {
      continue;
    }
    const std::string name = item.first.Scalar();
    if (auto child = Child(name)) {
      children.emplace_back(name, std::move(*child));
    }
  }
  return children;
}

void
YamlReader::AddRangeError(const std::string& aName,
                          const std::string& aValue,
                          const std::string& aMin,
                          const std::string& aMax)
{
  AddError(aName, aValue + " is outside " + aMin + " to " + aMax);
}

void
YamlReader::CheckKeys()
{
  if (!node_.IsMap()) {
    return;
  }
  std::set<std::string> seen;
  for (const auto& item : node_) {
    const std::string name =
      item.first.IsScalar() ? item.first.Scalar() : "(not a name)";
    const int line = LineOf(item.first);
    if (readKeys_.count(name) == 0) {
      errors_->push_back({ line, PathOf(name), "is not a known key" });
    }
    if (!seen.insert(name).second) {
      errors_->push_back({ line, PathOf(name), "is given twice" });
    }
  }
}

} // namespace cornelfront
