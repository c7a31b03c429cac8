#pragma once

/// \file
/// Messages between cornelfront processes. A frame on the wire is a length
/// (4 bytes, big endian) and an Envelope in cereal's portable binary form.

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

/// Largest frame that is sent or accepted, in bytes.
constexpr size_t kMaxFrameBytes = 32U << 20;

enum class Role : uint8_t
{
  Entry,
  Sidecar,
};

/// Where an entry can be reached by other cornelfront processes.
struct EntryAddress
{
  MemberId id_;
  std::string zone_;
  std::string host_;
  uint16_t port_ = 0;
  /// "<ip>:<port>" for operators; empty if it is not known yet.
  std::string http_ = {};

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(id_, zone_, host_, port_, http_);
  }
};

/// First message from the side that dialled.
struct Hello
{
  Role role_ = Role::Sidecar;
  MemberId id_;
  std::string name_;
  std::string zone_;
  /// Entries only: where this process listens.
  EntryAddress listen_;
  /// Sidecars only: "<ip>:<port>" for operators.
  std::string http_ = {};

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(role_, id_, name_, zone_, listen_, http_);
  }
};

/// Answer to Hello, and news of other entries afterwards.
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

/// Keeps an idle link alive; all content is in the envelope.
struct Pulse
{
  template<class Archive>
  void serialize(Archive&)
  {
  }
};

/// A configuration state newer than the receiver's.
struct ConfigUpdate
{
  ConfigState state_;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(state_);
  }
};

/// The upstream beside the sending sidecar; ready_ is false while there is
/// none or while it or the sidecar is leaving.
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
  /// Counted from receipt by the sidecar.
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
  /// Proved not to have been started.
  NotRun,
  /// Only in answer to ResolveTasks: no result yet.
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

/// Machine-readable name, such as "zone_out".
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

/// Drops queued tasks and stops running ones; each is answered.
struct CancelTasks
{
  std::vector<TaskId> tasks_;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(tasks_);
  }
};

/// Asks for the fate of tasks sent on an earlier link. A task that the
/// sidecar has never seen will never be started by it.
struct ResolveTasks
{
  std::vector<TaskId> tasks_;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(tasks_);
  }
};

/// A caller's request passed to the entry that owns its submission id.
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

/// The sender stops soon and takes no new work.
struct Leaving
{
  template<class Archive>
  void serialize(Archive&)
  {
  }
};

using Message = std::variant<Hello,
                             Welcome,
                             Pulse,
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
                             ForgetEnds>;

/// Name of the message's kind for metrics and events, such as "start_tasks".
std::string_view
KindOf(const Message& aMessage);

/// What the sender knows about the log, dated by the envelope's echo.
struct ConfigEvidence
{
  /// Version that the sender holds.
  ConfigVersion version_;
  /// True if the sender's last attempt to read the log succeeded.
  bool logReachable_ = false;
  /// True if the sender may testify during an outage; see DESIGN.md, 2.
  bool witness_ = false;
  /// Age of the sender's newest completed read of the log's head, counted from
  /// the moment the read was begun.
  Millis logAge_{ 0 };

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(version_, logReachable_, witness_, logAge_);
  }
};

struct Envelope
{
  /// Starts at 1 on each link and grows by one with each message.
  uint64_t sequence_ = 0;
  /// Hybrid clock of the sender.
  uint64_t hybridStamp_ = 0;
  /// Sender's monotonic clock; opaque to the receiver, who echoes it.
  int64_t stamp_ = 0;
  /// Newest stamp received from the other side; 0 if none.
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

/// Never allocates more than a small multiple of the payload's size.
/// \throws DecodeError
Envelope
Decode(std::string_view aPayload);

} // namespace cornelfront
