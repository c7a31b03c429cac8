#pragma once

/// \file
/// Messages between cornelfront processes. A frame on the wire consists of a
/// length (4 bytes, big endian) and an Envelope in cereal's portable binary
/// format.

#include "cornelfront/clock.h"
#include "cornelfront/config.h"
#include "cornelfront/ids.h"
#include "cornelfront/router.h"
#include "cornelfront/run_messages.h"

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace cornelfront {

/// Largest payload of a frame, in bytes. Receiving a larger one ends the link.
constexpr size_t kMaxFrameBytes = 32U << 20;

enum class Role : uint8_t
{
  Entry,
  Sidecar,
};

/// Address at which other cornelfront processes reach an entry.
struct EntryAddress
{
  MemberId id_;
  std::string zone_;
  std::string host_;
  uint16_t port_ = 0;
  /// HTTP address "<ip>:<port>" for operators; empty if it is not known yet.
  std::string http_ = {};

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(id_, zone_, host_, port_, http_);
  }
};

/// First message of the side that opened the connection.
struct Hello
{
  Role role_ = Role::Sidecar;
  MemberId id_;
  std::string name_;
  std::string zone_;
  /// Entries only: address at which this process accepts links.
  EntryAddress listen_;
  /// Sidecars only: HTTP address "<ip>:<port>" for operators.
  std::string http_ = {};

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(role_, id_, name_, zone_, listen_, http_);
  }
};

/// Answer to Hello: the receiver's peer and the other entries known to it.
/// Sent again to announce other entries later.
struct Welcome
{
  EntryAddress self_;
  std::vector<EntryAddress> entries_;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(self_, entries_);
  }
};

/// Keep-alive message of an idle link; carries no data beyond its envelope.
struct KeepAlive
{
  template<class Archive>
  void serialize(Archive&)
  {
  }
};

/// Sent to a process that holds an older configuration state.
struct ConfigUpdate
{
  ConfigState state_;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(state_);
  }
};

/// State of the upstream served by the sending sidecar. ready_ is false while
/// there is no upstream, or while it or the sidecar is shutting down.
struct UpstreamStatus
{
  std::string service_;
  bool ready_ = false;
  LoadReport load_;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(service_, ready_, load_);
  }
};

struct StartTask
{
  TaskId id_;
  std::string submission_;
  uint32_t index_ = 0;
  std::string call_;
  std::string body_;
  /// Limit for the start of the task, counted from receipt by the sidecar.
  Millis startWithin_{ 0 };
  Millis runLimit_{ 0 };

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(id_, submission_, index_, call_, body_, startWithin_, runLimit_);
  }
};

/// Tasks for one upstream, in the order in which they should start.
struct StartTasks
{
  std::string service_;
  std::vector<StartTask> tasks_;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(service_, tasks_);
  }
};

enum class TaskOutcome : uint8_t
{
  Completed,
  /// The upstream ran the task and reported failure.
  Failed,
  MayHaveRun,
  /// The task was certainly not started.
  NotRun,
  /// Only in response to ResolveTasks: the task has no result yet.
  Running,
};

enum class TaskReason : uint8_t
{
  None,
  ZoneOut,
  StaleConfig,
  Draining,
  NoUpstream,
  StartTooLate,
  QueueFull,
  Cancelled,
  NeverSeen,
  UpstreamRefused,
  UpstreamUnreachable,
  UpstreamFailed,
  UpstreamTimeout,
  LinkLost,
  UnknownCall,
};

/// Returns the machine-readable name, such as "zone_out".
std::string_view
ToString(TaskReason aReason);
std::string_view
ToString(TaskOutcome aOutcome);

struct TaskAnswer
{
  TaskId id_;
  TaskOutcome outcome_ = TaskOutcome::NotRun;
  TaskReason reason_ = TaskReason::None;
  std::string body_;
  Millis runTime_{ 0 };

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(id_, outcome_, reason_, body_, runTime_);
  }
};

struct TaskAnswers
{
  std::vector<TaskAnswer> answers_;
  LoadReport load_;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(answers_, load_);
  }
};

/// Removes queued tasks from the queue and stops running ones. Each task still
/// gets a TaskAnswer.
struct CancelTasks
{
  std::vector<TaskId> tasks_;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(tasks_);
  }
};

/// Queries the outcome of tasks that were sent on an earlier link. A sidecar
/// never starts a task that it reports as never seen.
struct ResolveTasks
{
  std::vector<TaskId> tasks_;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(tasks_);
  }
};

/// A caller's request, forwarded to the entry that owns its submission id.
struct ForwardRequest
{
  uint64_t serial_ = 0;
  std::string method_;
  std::string path_;
  std::vector<std::pair<std::string, std::string>> query_;
  std::vector<std::pair<std::string, std::string>> headers_;
  std::string body_;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(serial_, method_, path_, query_, headers_, body_);
  }
};

struct ForwardReply
{
  uint64_t serial_ = 0;
  int32_t status_ = 0;
  std::string contentType_;
  std::vector<std::pair<std::string, std::string>> headers_;
  std::string body_;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(serial_, status_, contentType_, headers_, body_);
  }
};

/// The sender is shutting down and accepts no new work.
struct Leaving
{
  template<class Archive>
  void serialize(Archive&)
  {
  }
};

using Message = std::variant<Hello,
                             Welcome,
                             KeepAlive,
                             ConfigUpdate,
                             UpstreamStatus,
                             StartTasks,
                             TaskAnswers,
                             CancelTasks,
                             ResolveTasks,
                             ForwardRequest,
                             ForwardReply,
                             Leaving,
                             StartRuns,
                             StopRuns,
                             RunReports,
                             HeldRuns,
                             TakeOver,
                             AcknowledgeEnds,
                             UpstreamCrashes,
                             LateOrders,
                             LeaderAuthority>;

/// Returns the name of the message type for metrics and events, such as
/// "start_tasks".
std::string_view
KindOf(const Message& aMessage);

/// What the sender knows about the configuration log. The receiver determines
/// its age from Envelope::echo_.
struct ConfigEvidence
{
  /// Configuration version held by the sender.
  ConfigVersion version_;
  /// True if the sender's last attempt to read the log succeeded.
  bool logReachable_ = false;
  /// True if the sender is a witness: it may attest the configuration version
  /// during an outage of the log; see DESIGN.md, 2.
  bool witness_ = false;
  /// Age of the sender's newest completed read up to the end of the log,
  /// counted from the start of that read.
  Millis logAge_{ 0 };

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(version_, logReachable_, witness_, logAge_);
  }
};

/// A message with the data that accompanies every message.
struct Envelope
{
  /// Starts at 1 on each link and increases by one with each message.
  uint64_t sequence_ = 0;
  /// Stamp of the sender's hybrid clock.
  uint64_t hybridStamp_ = 0;
  /// Time of sending on the sender's LinkHandlers::stampClock_, in nanoseconds.
  /// Opaque to the receiver, which sends it back as echo_.
  int64_t stamp_ = 0;
  /// Newest stamp_ received from the other side; 0 if none.
  int64_t echo_ = 0;
  ConfigEvidence evidence_;
  Message message_;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(sequence_, hybridStamp_, stamp_, echo_, evidence_, message_);
  }
};

/// The bytes are not a valid envelope.
class DecodeError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// Returns the payload of a frame, without its length.
std::string
Encode(const Envelope& aEnvelope);

/// Decodes the payload of a frame. Allocates at most a small multiple of the
/// payload's size, whatever lengths the payload claims.
/// \throws DecodeError
Envelope
Decode(std::string_view aPayload);

} // namespace cornelfront
