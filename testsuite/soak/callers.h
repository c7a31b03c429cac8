#pragma once

/// \file
/// Callers of the soak: each thread keeps its connections open, submits jobs
/// of random sizes, submits again what had no answer, and cancels some.

#include "checks.h"

#include <atomic>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace cornelfront::soak {

struct CallersOptions
{
  uint64_t seed_ = 1;
  unsigned threads_ = 4;
  /// "<ip>:<port>" of every entry.
  std::vector<std::string> entries_;
};

class Callers
{
public:
  explicit Callers(CallersOptions aOptions);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  /// Ends the threads once their present jobs are answered; does nothing the
  /// second time.
  void Stop();
  /// After Stop.
  const std::vector<JobRecord>& Jobs() const { return jobs_; }
  const std::vector<CutRequest>& Cuts() const { return cuts_; }
  /// After Stop: asks every entry for every accepted job until none is open or
  /// \p aLimit has passed.
  void ReadStates(Millis aLimit);

private:
  void Run(unsigned aThread);

  const CallersOptions options_;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::vector<JobRecord> jobs_;
  std::vector<CutRequest> cuts_;
  std::vector<std::thread> threads_;
};

} // namespace cornelfront::soak
