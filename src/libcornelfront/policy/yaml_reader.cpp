#include "policy/yaml_reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace cornelfront {

namespace {

struct Unit
{
  const char* suffix_;
  uint64_t factor_;
};

constexpr Unit kDurationUnits[] = { { "ms", 1 },
                                    { "s", 1000 },
                                    { "min", 60000 } };
constexpr Unit kByteUnits[] = { { "B", 1 },
                                { "KB", 1ULL << 10 },
                                { "MB", 1ULL << 20 },
                                { "GB", 1ULL << 30 } };

/// Bound on values with a unit, so that arithmetic on them cannot overflow.
constexpr uint64_t kMaxScaled = 1ULL << 50;

constexpr const char* kExpectDuration = "a duration such as 200ms, 2s or 5min";
constexpr const char* kExpectBytes = "a size such as 512KB or 64MB";
constexpr const char* kExpectCount = "a whole number without sign";
constexpr const char* kExpectNumber = "a number";
constexpr const char* kExpectText = "text";

template<size_t Count>
std::optional<uint64_t>
ParseWithUnit(const std::string& aText, const Unit (&aUnits)[Count])
{
  uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  const std::string suffix(parsed.ptr, end);
  for (const Unit& unit : aUnits) {
    if (suffix == unit.suffix_ && number <= kMaxScaled / unit.factor_) {
      return number * unit.factor_;
    }
  }
  return std::nullopt;
}

template<class Number>
std::optional<Number>
ParseWhole(const std::string& aText)
{
  Number number{};
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::string
FormatNumber(double aNumber)
{
  char text[32];
  const auto written = std::to_chars(std::begin(text), std::end(text), aNumber);
  return { text, written.ptr };
}

std::string
FormatByteSize(uint64_t aBytes)
{
  const Unit* best = &kByteUnits[0];
  for (const Unit& unit : kByteUnits) {
    if (aBytes != 0 && aBytes % unit.factor_ == 0) {
      best = &unit;
    }
  }
  return std::to_string(aBytes / best->factor_) + best->suffix_;
}

std::string
JoinNames(const std::vector<std::string>& aNames)
{
  std::string joined;
  for (const std::string& name : aNames) {
    joined += joined.empty() ? name : ", " + name;
  }
  return joined;
}

std::string
Describe(const std::vector<FileError>& aErrors)
{
  std::string text;
  for (const FileError& error : aErrors) {
    text += text.empty() ? "" : "\n";
    if (error.line_ > 0) {
      text += "line " + std::to_string(error.line_) + ": ";
    }
    if (!error.key_.empty()) {
      text += error.key_ + ": ";
    }
    text += error.message_;
  }
  return text;
}

/// Returns what is wrong with a value outside the bounds; empty if nothing.
template<class Value, class Format>
std::string
OutOfBounds(Value aValue, const Bounds<Value>& aBounds, Format aFormat)
{
  if (aValue < aBounds.min_) {
    return "is " + aFormat(aValue) + ", below the minimum of " +
           aFormat(aBounds.min_);
  }
  if (aValue > aBounds.max_) {
    return "is " + aFormat(aValue) + ", above the maximum of " +
           aFormat(aBounds.max_);
  }
  return "";
}

int
LineOf(const YAML::Mark& aMark)
{
  return aMark.is_null() ? 0 : aMark.line + 1;
}

} // namespace

FileErrors::FileErrors(std::vector<FileError> aErrors)
  : std::runtime_error(Describe(aErrors))
  , errors_(std::move(aErrors))
{
}

std::optional<Millis>
ParseDuration(const std::string& aText)
{
  const auto count = ParseWithUnit(aText, kDurationUnits);
  if (!count) {
    return std::nullopt;
  }
  return Millis(static_cast<Millis::rep>(*count));
}

std::string
FormatDuration(Millis aDuration)
{
  const auto count = aDuration.count();
  constexpr Millis::rep kMillisPerSecond = 1000;
  if (count != 0 && count % kMillisPerSecond == 0) {
    return std::to_string(count / kMillisPerSecond) + "s";
  }
  return std::to_string(count) + "ms";
}

std::optional<uint64_t>
ParseByteSize(const std::string& aText)
{
  return ParseWithUnit(aText, kByteUnits);
}

YamlSection::YamlSection(std::string aPath,
                         int aLine,
                         std::vector<FileError>& aErrors)
  : path_(std::move(aPath))
  , line_(aLine)
  , errors_(&aErrors)
{
}

YamlSection
YamlSection::Parse(const std::string& aYaml, std::vector<FileError>& aErrors)
{
  YamlSection top("", 1, aErrors);
  try {
    const std::vector<YAML::Node> documents = YAML::LoadAll(aYaml);
    if (documents.size() != 1 || !documents.front().IsMap()) {
      top.AddError(1, "the file must be one YAML map");
    } else {
      top.Load(documents.front());
    }
  } catch (const YAML::Exception& error) {
    top.AddError(LineOf(error.mark), "not valid YAML: " + error.msg);
  }
  return top;
}

void
YamlSection::Load(const YAML::Node& aMap)
{
  present_ = true;
  for (const auto& pair : aMap) {
    const int line = LineOf(pair.first.Mark());
    if (!pair.first.IsScalar()) {
      AddError(line, "a key must be text");
      continue;
    }
    const std::string& key = pair.first.Scalar();
    if (!values_.try_emplace(key, Value{ pair.second, line, false }).second) {
      AddError(line, "'" + key + "' is given twice");
      continue;
    }
    order_.push_back(key);
  }
}

void
YamlSection::AddError(int aLine, const std::string& aMessage)
{
  errors_->push_back({ .line_ = aLine, .key_ = path_, .message_ = aMessage });
}

void
YamlSection::Fail(const std::string& aKey, const std::string& aMessage)
{
  const auto found = values_.find(aKey);
  AddError(found == values_.end() ? line_ : found->second.line_, aMessage);
}

const YAML::Node*
YamlSection::Ask(const std::string& aKey)
{
  if (std::find(known_.begin(), known_.end(), aKey) == known_.end()) {
    known_.push_back(aKey);
  }
  const auto found = values_.find(aKey);
  if (found == values_.end()) {
    return nullptr;
  }
  found->second.asked_ = true;
  return &found->second.node_;
}

void
YamlSection::Require(const std::string& aKey)
{
  if (present_ && Ask(aKey) == nullptr) {
    Fail(aKey, "'" + aKey + "' is missing");
  }
}

void
YamlSection::RejectUnknownKeys()
{
  for (const std::string& key : order_) {
    if (!values_.at(key).asked_) {
      Fail(key,
           "unknown key '" + key + "'; known keys are " + JoinNames(known_));
    }
  }
}

std::optional<std::string>
YamlSection::Scalar(const std::string& aKey, const std::string& aExpected)
{
  const YAML::Node* node = Ask(aKey);
  if (node == nullptr) {
    return std::nullopt;
  }
  if (!node->IsScalar()) {
    Fail(aKey, "'" + aKey + "' must be " + aExpected);
    return std::nullopt;
  }
  return node->Scalar();
}

std::string
YamlSection::Text(const std::string& aKey, const std::string& aDefault)
{
  return Scalar(aKey, kExpectText).value_or(aDefault);
}

bool
YamlSection::Flag(const std::string& aKey, bool aDefault)
{
  const std::string expected = "true or false";
  const auto text = Scalar(aKey, expected);
  if (!text) {
    return aDefault;
  }
  if (*text != "true" && *text != "false") {
    Fail(aKey, "'" + aKey + "' must be " + expected);
    return aDefault;
  }
  return *text == "true";
}

uint64_t
YamlSection::Count(const std::string& aKey,
                   uint64_t aDefault,
                   Bounds<uint64_t> aBounds)
{
  const auto text = Scalar(aKey, kExpectCount);
  if (!text) {
    return aDefault;
  }
  const auto number = ParseWhole<uint64_t>(*text);
  if (!number) {
    Fail(aKey, "'" + aKey + "' must be " + kExpectCount);
    return aDefault;
  }
  const auto format = [](uint64_t aNumber) { return std::to_string(aNumber); };
  const std::string fault = OutOfBounds(*number, aBounds, format);
  if (!fault.empty()) {
    Fail(aKey, "'" + aKey + "' " + fault);
    return aDefault;
  }
  return *number;
}

double
YamlSection::Number(const std::string& aKey,
                    double aDefault,
                    Bounds<double> aBounds)
{
  const auto text = Scalar(aKey, kExpectNumber);
  if (!text) {
    return aDefault;
  }
  const auto number = ParseWhole<double>(*text);
  if (!number || !std::isfinite(*number)) {
    Fail(aKey, "'" + aKey + "' must be " + kExpectNumber);
    return aDefault;
  }
  const std::string fault = OutOfBounds(*number, aBounds, &FormatNumber);
  if (!fault.empty()) {
    Fail(aKey, "'" + aKey + "' " + fault);
    return aDefault;
  }
  return *number;
}

Millis
YamlSection::Duration(const std::string& aKey,
                      Millis aDefault,
                      DurationBounds aBounds)
{
  const auto text = Scalar(aKey, kExpectDuration);
  if (!text) {
    return aDefault;
  }
  const auto duration = ParseDuration(*text);
  if (!duration) {
    Fail(aKey, "'" + aKey + "' must be " + kExpectDuration);
    return aDefault;
  }
  const auto format = [](Millis::rep aCount) {
    return FormatDuration(Millis(aCount));
  };
  const std::string fault = OutOfBounds(duration->count(), aBounds, format);
  if (!fault.empty()) {
    Fail(aKey, "'" + aKey + "' " + fault);
    return aDefault;
  }
  return *duration;
}

uint64_t
YamlSection::ByteSize(const std::string& aKey,
                      uint64_t aDefault,
                      Bounds<uint64_t> aBounds)
{
  const auto text = Scalar(aKey, kExpectBytes);
  if (!text) {
    return aDefault;
  }
  const auto bytes = ParseByteSize(*text);
  if (!bytes) {
    Fail(aKey, "'" + aKey + "' must be " + kExpectBytes);
    return aDefault;
  }
  const std::string fault = OutOfBounds(*bytes, aBounds, &FormatByteSize);
  if (!fault.empty()) {
    Fail(aKey, "'" + aKey + "' " + fault);
    return aDefault;
  }
  return *bytes;
}

size_t
YamlSection::Choice(const std::string& aKey,
                    const std::vector<std::string>& aNames,
                    size_t aDefault)
{
  const std::string expected = "one of " + JoinNames(aNames);
  const auto text = Scalar(aKey, expected);
  if (!text) {
    return aDefault;
  }
  const auto found = std::find(aNames.begin(), aNames.end(), *text);
  if (found == aNames.end()) {
    Fail(aKey, "'" + aKey + "' must be " + expected);
    return aDefault;
  }
  return static_cast<size_t>(found - aNames.begin());
}

std::vector<std::string>
YamlSection::TextList(const std::string& aKey)
{
  std::vector<std::string> texts;
  const YAML::Node* node = Ask(aKey);
  if (node == nullptr) {
    return texts;
  }
  if (!node->IsSequence()) {
    Fail(aKey, "'" + aKey + "' must be a list of texts");
    return texts;
  }
  for (const YAML::Node& item : *node) {
    if (item.IsScalar()) {
      texts.push_back(item.Scalar());
    } else {
      AddError(LineOf(item.Mark()), "'" + aKey + "' must be a list of texts");
    }
  }
  return texts;
}

YamlSection
YamlSection::Section(const std::string& aKey)
{
  const std::string path = path_.empty() ? aKey : path_ + "." + aKey;
  const YAML::Node* node = Ask(aKey);
  YamlSection section(
    path, node == nullptr ? line_ : values_.at(aKey).line_, *errors_);
  if (node == nullptr) {
    return section;
  }
  if (!node->IsMap()) {
    Fail(aKey, "'" + aKey + "' must be a map");
    return section;
  }
  section.Load(*node);
  return section;
}

} // namespace cornelfront
