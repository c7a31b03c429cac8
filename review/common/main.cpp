/// \file
/// Plays one case: play_case NUMBER RECORD. Exits with 0 if the rule held, with
/// 1 if it was broken, and with 2 if the case could not be played.

#include "case.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include <unistd.h>

namespace cornelfront::review {
namespace {

/// The program ends itself, and with it its children, after this time.
constexpr unsigned kLongestPlayS = 115;

constexpr std::array<Case, 5> kCases{
  PlayCase1, PlayCase2, PlayCase3, PlayCase4, PlayCase5,
};

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

int
Main(int aNumber, const std::string& aRecord)
{
  if (aNumber < 1 || aNumber > static_cast<int>(kCases.size())) {
    return kCouldNotRun;
  }
  signal(SIGALRM, [](int) { _exit(kCouldNotRun); });
  alarm(kLongestPlayS);
  const char* trouble = std::getenv("TROUBLE");
  Record record(aRecord);
  try {
    const bool held = kCases.at(static_cast<size_t>(aNumber) - 1)(
      record, trouble == nullptr || std::string(trouble) != "0");
    record.Line(held ? "the rule held" : "the rule was broken");
    return held ? kHeld : kBroken;
  } catch (const std::exception& error) {
    record.Line(std::string("the case could not run: ") + error.what());
    return kCouldNotRun;
  }
}

} // namespace
} // namespace cornelfront::review

int
main(int argc, char** argv)
{
  return argc == 3 ? cornelfront::review::Main(std::atoi(argv[1]), argv[2]) : 2;
}
