#include "cases.h"

#include "world.h"

#include <cmath>
#include <cstdlib>
#include <iostream>
#include <map>

namespace review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

int
Conclude(World& aWorld, int aCode, const std::string& aWhy)
{
  const std::string verdict = aCode == kHeld     ? "held"
                              : aCode == kBroken ? "BROKEN"
                                                 : "could not run";
  aWorld.Note("verdict: " + verdict + ": " + aWhy);
  std::cout << verdict << ": " << aWhy << std::endl;
  return aCode;
}

/// Writes to the record how many orders had no answer.
void
NoteOrders(World& aWorld, unsigned aExecutors)
{
  unsigned orders = 0;
  unsigned lost = 0;
  for (unsigned i = 0; i < aExecutors; ++i) {
    orders += aWorld.ExecutorAt(i).Orders();
    lost += aWorld.ExecutorAt(i).LostOrders();
  }
  aWorld.Note(std::to_string(lost) + " of " + std::to_string(orders) +
              " orders so far had no answer");
}

/// Returns the longest time for which two runs of a task overlap; 0 if none do.
Millis
LongestOverlap(World& aWorld, const std::string& aTask)
{
  Millis longest(0);
  const auto runs = aWorld.RunList();
  const auto end = [](const RunRecord& aRun) {
    return aRun.how_.empty() ? MonoClock::now() : aRun.ended_;
  };
  for (const RunRecord& a : runs) {
    for (const RunRecord& b : runs) {
      if (&a < &b && a.task_ == aTask && b.task_ == aTask) {
        longest =
          std::max(longest,
                   std::chrono::duration_cast<Millis>(
                     std::min(end(a), end(b)) - std::max(a.begun_, b.begun_)));
      }
    }
  }
  return longest;
}

/// The first order of a stored task has no answer. Its executor restarts under
/// its id while the task runs elsewhere, and carries that order out.
int
PlayLateOrder(bool aTrouble)
{
  World world({ .entries_ = 3, .sidecars_ = 8 });
  const std::string id = JobId(1);
  const std::string task = id + ".0.0.0";
  constexpr Millis kDelay{ 20 };
  const JobSpec job{ .work_ = { .length_ = Millis(6000), .failing_ = 1 },
                     .estimate_ = Millis(6000) };
  const JobSpec plain{ .work_ = { .length_ = Millis(50) },
                       .count_ = 5,
                       .estimate_ = Millis(50) };
  for (unsigned i = 0; i < 8; ++i) {
    world.Submit(i % 3, JobId(10 + i), plain);
  }
  if (aTrouble) {
    for (unsigned i = 0; i < 8; ++i) {
      world.ExecutorAt(i).LoseNextStart(task, kDelay);
    }
  }
  if (world.Submit(0, id, job).status_ != 200) {
    return Conclude(world, kNotRun, "the job was not accepted");
  }
  unsigned first = 8;
  if (aTrouble) {
    world.WaitFor(
      [&] {
        for (unsigned i = 0; i < 8; ++i) {
          first = world.ExecutorAt(i).HasLostStart() ? i : first;
        }
        return first < 8;
      },
      Millis(2000));
    if (first == 8) {
      return Conclude(world, kNotRun, "no order was lost");
    }
    for (unsigned i = 0; i < 8; ++i) {
      world.ExecutorAt(i).LoseNextStart("", kDelay);
    }
    world.Note("executor " + std::to_string(first) +
               " has left an order without an answer");
    NoteOrders(world, 8);
    const bool elsewhere = world.WaitFor(
      [&] {
        const int holder = world.Holder(task);
        return holder >= 0 && static_cast<unsigned>(holder) != first;
      },
      Millis(11000));
    if (elsewhere) {
      world.Sleep(Millis(500));
      world.Note("executor " + std::to_string(first) + " goes dark");
      world.ExecutorAt(first).GoDark();
      world.Sleep(Millis(4000));
      world.ExecutorAt(first).Start(true);
      world.Note("executor " + std::to_string(first) +
                 " starts again under its id");
    }
  }
  world.WaitFor([&] { return world.Call(0, "GET", id).state_ == "completed"; },
                Millis(30000));
  world.NoteRuns();
  const Millis overlap = LongestOverlap(world, task);
  return Conclude(world,
                  overlap > Millis(0) ? kBroken : kHeld,
                  "two runs of the task overlap for " +
                    std::to_string(overlap.count()) + " ms");
}

/// All entries and sidecars lose power right after an order had no answer. The
/// job is handed in again, and the executor carries the order out when it is
/// back.
int
PlayPowerLoss(bool aTrouble)
{
  constexpr unsigned kEntries = 3;
  constexpr unsigned kMachines = 8;
  World world({ .entries_ = kEntries, .sidecars_ = kMachines });
  const std::string id = JobId(1);
  const std::string task = id + ".0.0.0";
  const JobSpec job{ .work_ = { .length_ = Millis(5000) },
                     .estimate_ = Millis(5000),
                     .bestEffort_ = true };
  const JobSpec plain{ .work_ = { .length_ = Millis(50) },
                       .count_ = 5,
                       .estimate_ = Millis(50) };
  for (unsigned i = 0; i < 8; ++i) {
    world.Submit(i % kEntries, JobId(10 + i), plain);
  }
  const auto setLoss = [&](const std::string& aTask) {
    for (unsigned i = 0; i < kMachines; ++i) {
      world.ExecutorAt(i).LoseNextStart(aTask, Millis(20));
    }
  };
  if (aTrouble) {
    setLoss(task);
  }
  Reply reply;
  std::thread client([&] {
    reply = world.Submit(0, id, job, Millis(9000));
    const MonoTime until = MonoClock::now() + Millis(25000);
    while (reply.status_ == 0 && MonoClock::now() < until) {
      world.Sleep(Millis(1300));
      // The balancer forwards to entries that are ready.
      unsigned entry = kEntries;
      world.WaitFor(
        [&] {
          for (unsigned i = 0; i < kEntries; ++i) {
            entry = world.IsReady(i) ? i : entry;
          }
          return entry < kEntries;
        },
        Millis(10000));
      reply = world.Submit(entry % kEntries, id, job, Millis(9000));
    }
  });
  if (aTrouble) {
    unsigned first = kMachines;
    const bool lost = world.WaitFor(
      [&] {
        for (unsigned i = 0; i < kMachines; ++i) {
          first = world.ExecutorAt(i).HasLostStart() ? i : first;
        }
        return first < kMachines;
      },
      Millis(2000));
    setLoss("");
    world.Note("executor " + std::to_string(first) +
               " has left an order without an answer and goes dark; all "
               "entries and sidecars lose power");
    NoteOrders(world, kMachines);
    if (lost) {
      world.ExecutorAt(first).GoDark();
    }
    for (unsigned i = 0; i < kMachines; ++i) {
      world.KillSidecar(i);
    }
    for (unsigned i = 0; i < kEntries; ++i) {
      world.KillEntry(i);
    }
    const MonoTime dark = MonoClock::now();
    world.Sleep(Millis(1500));
    for (unsigned i = 0; i < kEntries; ++i) {
      world.StartEntry(i);
    }
    for (unsigned i = 0; i < kMachines; ++i) {
      world.StartSidecar(i);
    }
    world.Note("power is back");
    std::this_thread::sleep_until(dark + Millis(4400));
    if (lost) {
      world.ExecutorAt(first).Start(true);
      world.Note("executor " + std::to_string(first) +
                 " starts again under its id");
    }
  }
  client.join();
  world.NoteRuns();
  const Millis overlap = LongestOverlap(world, task);
  return Conclude(world,
                  overlap > Millis(0) ? kBroken : kHeld,
                  "two runs of the task overlap for " +
                    std::to_string(overlap.count()) + " ms; the answer is " +
                    std::to_string(reply.status_) + " " + reply.state_);
}

/// Gangs that fit are handed in one after the other; for 4 s they come 1.8
/// times as often.
int
PlayGangs(bool aTrouble)
{
  World world({ .entries_ = 3, .sidecars_ = 4, .cpu_ = 2000 });
  const JobSpec gang{ .work_ = { .length_ = Millis(500), .gang_ = 5 },
                      .count_ = 5,
                      .estimate_ = Millis(500) };
  constexpr Millis kInterval{ 800 };
  constexpr double kBurst = 1.8;
  const MonoTime begin = MonoClock::now();
  const MonoTime burst = begin + Millis(6000);
  const MonoTime burstEnd = burst + Millis(4000);
  const MonoTime end = begin + Millis(20000);
  std::vector<std::string> accepted;
  for (unsigned i = 1; MonoClock::now() < end; ++i) {
    const MonoTime now = MonoClock::now();
    // Rounded up, and the last short gap ends within the 4 s.
    const Millis shortGap(static_cast<int64_t>(
      std::ceil(static_cast<double>(kInterval.count()) / kBurst)));
    const bool isBurst = aTrouble && now >= burst && now + shortGap <= burstEnd;
    const Millis gap = isBurst ? shortGap : kInterval;
    if (world.Submit(i % 3, JobId(i), gang).status_ == 200) {
      accepted.push_back(JobId(i));
    }
    std::this_thread::sleep_until(now + gap);
  }
  world.Sleep(Millis(45000));
  unsigned open = 0;
  for (const std::string& id : accepted) {
    open += world.Call(0, "GET", id).state_ == "completed" ? 0 : 1;
  }
  world.NoteRuns();
  // Nothing is near from 4 s after the burst on, when a run ends that has begun
  // 3 s before.
  int alone = 0;
  for (const RunRecord& run : world.RunList()) {
    alone +=
      run.how_ == "alone" && run.ended_ > burstEnd + Millis(7000) ? 1 : 0;
  }
  return Conclude(world,
                  alone > 0 ? kBroken : kHeld,
                  std::to_string(alone) +
                    " runs ended alone later than 7 s after the burst; " +
                    std::to_string(open) + " of " +
                    std::to_string(accepted.size()) +
                    " accepted jobs are not completed 45 s after the last one");
}

/// Many small tasks that last run on each executor; one executor is lost for
/// good, and the others have room for all of its tasks.
int
PlayMany(bool aTrouble)
{
  constexpr unsigned kMachines = 8;
  constexpr unsigned kTasks = 280;
  World world({ .entries_ = 3, .sidecars_ = kMachines, .cpu_ = 32000 });
  const JobSpec job{ .work_ = { .cpu_ = 20, .lasts_ = true },
                     .count_ = kTasks };
  for (unsigned i = 0; i < kMachines; ++i) {
    if (world.Submit(i % 3, JobId(1 + i), job).status_ != 200) {
      return Conclude(world, kNotRun, "a job was not accepted");
    }
  }
  const auto running = [&] {
    unsigned count = 0;
    for (const RunRecord& run : world.RunList()) {
      count += run.how_.empty() ? 1 : 0;
    }
    return count;
  };
  constexpr unsigned kAll = kMachines * kTasks;
  if (!world.WaitFor([&] { return running() == kAll; }, Millis(30000))) {
    return Conclude(world,
                    kNotRun,
                    std::to_string(running()) + " of " + std::to_string(kAll) +
                      " tasks run");
  }
  world.Sleep(Millis(5000));
  if (aTrouble) {
    world.Note("executor 0 is lost for good");
    world.ExecutorAt(0).Crash();
  }
  world.Sleep(Millis(30000));
  const unsigned left = running();
  world.NoteRuns();
  // LOST: from 6 s after the last run of a task, 3 s without one.
  return Conclude(world,
                  left < kAll ? kBroken : kHeld,
                  std::to_string(kAll - left) + " of " + std::to_string(kAll) +
                    " tasks do not run 30 s later; the room in use is " +
                    std::to_string(left * 20) + " of " +
                    std::to_string(32000 * (aTrouble ? 7 : 8)));
}

/// The executor of a task that lasts is lost for good; best-effort jobs, as
/// many as before, take all that the others can do.
int
PlayFull(bool aTrouble)
{
  World world({ .entries_ = 3, .sidecars_ = 8, .cpu_ = 2000, .priority_ = 0 });
  const std::string id = JobId(1);
  const std::string task = id + ".0.0.0";
  const JobSpec job{ .work_ = { .lasts_ = true } };
  if (world.Submit(0, id, job).status_ != 200) {
    return Conclude(world, kNotRun, "the job was not accepted");
  }
  world.Sleep(Millis(1000));
  // A job takes 0.4 of a slot for a second. Of 16 slots one is the lasting
  // task's, and the others have work for 105 % of the time.
  constexpr Millis kTraffic{ 36000 };
  constexpr double kPerSecond = 1.05 * 15.0 / 0.4;
  std::atomic<unsigned> accepted = 0;
  unsigned sent = 0;
  std::vector<std::thread> clients;
  std::thread source([&] {
    const MonoTime begin = MonoClock::now();
    for (; MonoClock::now() < begin + kTraffic; ++sent) {
      std::this_thread::sleep_until(
        begin + Millis(static_cast<int64_t>(sent * 1000 / kPerSecond)));
      clients.emplace_back([&world, &accepted, i = sent] {
        const JobSpec plain{ .work_ = { .length_ = Millis(200) },
                             .count_ = 2,
                             .estimate_ = Millis(200),
                             .bestEffort_ = true };
        const Reply reply =
          world.Submit(i % 3, JobId(10 + i), plain, Millis(6000));
        accepted += reply.state_ == "completed" ? 1 : 0;
      });
    }
  });
  world.Sleep(Millis(8000));
  const int holder = world.Holder(task);
  if (aTrouble && holder >= 0) {
    world.Note("executor " + std::to_string(holder) + " is lost for good");
    world.ExecutorAt(static_cast<unsigned>(holder)).Crash();
  }
  const MonoTime calmSince = MonoClock::now();
  source.join();
  const MonoTime trafficEnd = MonoClock::now();
  for (std::thread& client : clients) {
    client.join();
  }
  world.Sleep(Millis(2000));
  world.NoteRuns(id);
  MonoTime ended;
  MonoTime next = MonoClock::now();
  for (const RunRecord& run : world.RunList()) {
    if (run.task_ == task && ended == MonoTime()) {
      ended = run.ended_;
    } else if (run.task_ == task) {
      next = std::min(next, run.begun_);
    }
  }
  const std::string answers = std::to_string(accepted) + " of " +
                              std::to_string(sent) +
                              " best-effort jobs were completed";
  if (ended == MonoTime()) {
    return Conclude(world, kHeld, "the task ran on; " + answers);
  }
  // LOST: from 6 s after the last run, 3 s without one, if these and the 4 s
  // before them are calm; the traffic is the same all the while.
  const MonoTime from =
    std::max(ended + Millis(6000), calmSince + Millis(4000));
  const bool broken = std::min(next, trafficEnd) >= from + Millis(3000);
  return Conclude(world,
                  broken ? kBroken : kHeld,
                  "the task did not run from " +
                    std::to_string(world.At(ended).count()) + " to " +
                    std::to_string(world.At(next).count()) +
                    " ms; LOST allows until " +
                    std::to_string(world.At(from + Millis(3000)).count()) +
                    " ms; " + answers);
}

} // namespace

bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

int
Play(const std::string& aName, bool aTrouble)
{
  if (aName == "lateorder") {
    return PlayLateOrder(aTrouble);
  }
  if (aName == "many") {
    return PlayMany(aTrouble);
  }
  if (aName == "powerloss") {
    return PlayPowerLoss(aTrouble);
  }
  if (aName == "full") {
    return PlayFull(aTrouble);
  }
  if (aName == "gangs") {
    return PlayGangs(aTrouble);
  }
  std::cerr << "no such case\n";
  return kNotRun;
}

} // namespace review
