#pragma once

/// \file
/// Faults of the answers of a stand-in: a call is carried out and its
/// connection closed without an answer, or it is answered 503 and has done
/// nothing.

#include "cornelfront/clock.h"
#include "cornelfront/http_server.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <random>
#include <utility>

namespace cornelfront {

/// What becomes of a call.
enum class Fate : uint8_t
{
  Answered,
  /// It is carried out, and its connection closed without an answer.
  Closed,
  /// It is answered 503 and has done nothing.
  Refused,
};

/// Decides the fates of calls, by exact counts and by percentages drawn from a
/// seeded generator.
class AnswerFaults
{
public:
  /// Takes the faults from a JSON object; those that it does not name stay as
  /// they are. "close_next" and "refuse_next" are numbers of calls: the former
  /// are closed, then the latter refused. "close_percent" and "refuse_percent"
  /// are shares of the calls within the next "for_ms" milliseconds, without
  /// limit if it is absent. "seed" starts the generator anew.
  void Set(const nlohmann::json& aFaults, MonoTime aNow)
  {
    closeNext_ = aFaults.value("close_next", closeNext_);
    refuseNext_ = aFaults.value("refuse_next", refuseNext_);
    const MonoTime until = aFaults.contains("for_ms")
                             ? aNow + Millis(aFaults["for_ms"].get<int64_t>())
                             : MonoTime::max();
    SetShare(closes_, aFaults, "close_percent", until);
    SetShare(refusals_, aFaults, "refuse_percent", until);
    if (aFaults.contains("seed")) {
      random_.seed(aFaults["seed"].get<uint64_t>());
    }
  }

  /// Decides on a call that counts and may be refused.
  Fate Next(MonoTime aNow)
  {
    if (closeNext_ > 0) {
      --closeNext_;
      return Fate::Closed;
    }
    if (refuseNext_ > 0) {
      --refuseNext_;
      return Fate::Refused;
    }
    return Draw(refusals_, aNow) ? Fate::Refused : NextUnrefused(aNow);
  }

  /// Decides on a call that is never refused and does not count.
  Fate NextUnrefused(MonoTime aNow)
  {
    return Draw(closes_, aNow) ? Fate::Closed : Fate::Answered;
  }

private:
  struct Share
  {
    int percent_ = 0;
    MonoTime until_;
  };

  static void SetShare(Share& aShare,
                       const nlohmann::json& aFaults,
                       const char* aName,
                       MonoTime aUntil)
  {
    if (aFaults.contains(aName)) {
      aShare = { aFaults[aName].get<int>(), aUntil };
    }
  }

  bool Draw(const Share& aShare, MonoTime aNow)
  {
    return aShare.percent_ > 0 && aNow < aShare.until_ &&
           std::uniform_int_distribution<int>(1, 100)(random_) <=
             aShare.percent_;
  }

  int closeNext_ = 0;
  int refuseNext_ = 0;
  Share closes_;
  Share refusals_;
  std::mt19937_64 random_{ 1 };
};

/// Sends the answer to a call that was carried out, or closes its connection.
inline void
SendOrClose(const HttpReply& aReply, Fate aFate, HttpResponse aResponse)
{
  if (aFate == Fate::Closed) {
    aReply.Close();
  } else {
    aReply.Send(std::move(aResponse));
  }
}

} // namespace cornelfront
