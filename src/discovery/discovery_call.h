// One connection to the discovery agent, for a watch or a poll. Used by DiscoveryClient only.
#ifndef PADDLESTILE_DISCOVERY_DISCOVERY_CALL_H_
#define PADDLESTILE_DISCOVERY_DISCOVERY_CALL_H_

#include <memory>

#include "config/json.h"
#include "discovery/call_schedule.h"
#include "discovery/discovery_client.h"
#include "event/event_loop.h"
#include "event/socket.h"
#include "event/stream.h"
#include "http/chunk_decoder.h"
#include "http/http_parser.h"

namespace paddlestile {

// A poll reads one response that contains the complete list. A watch reads an endless chunked
// response: a sequence of JSON objects, each followed by a line end, with empty lines as
// keep-alive. A call ends by calling OnCallFailed or OnOversizedList of the client; a poll also
// ends when its list has been accepted. It has no time limit of its own: CallSchedule compares its
// progress with that of other calls. Owned by the client, which destroys it after the current event
// handler.
class DiscoveryClient::Call final : public Stream::Listener {
 public:
  Call(DiscoveryClient& client, Socket socket, bool watch);
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;
  virtual ~Call() = default;

  // Starts the connection. Returns false if epoll rejects the socket.
  bool Start() { return stream_.Start(); }
  // Closes the connection.
  void Stop() { stream_.Close(); }
  [[nodiscard]] const CallProgress& progress() const { return progress_; }
  [[nodiscard]] bool is_watch() const { return is_watch_; }
  // The latest time at which the agent was reachable; the start of the call until it connects.
  [[nodiscard]] Time reachable_at() const { return reachable_at_; }

 private:
  void OnConnected() override;
  void OnData() override;
  void OnError() override;

  void ReadPollResponse();
  // Returns true when the complete response head has been read.
  bool ReadWatchHead();
  void ReadWatchLines();
  // Parses a line or a part of one. Returns false if the call has ended.
  bool ParseLinePart(std::string_view part, bool ends_line);
  // Handles the end of a line. Returns false if the line is malformed or the watch must restart.
  bool OnLineEnd();
  void ResumeReadingAfterRound();

  DiscoveryClient& client_;
  EventLoop& loop_;  // kept separately: deferred tasks may outlive the client
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // lets tasks detect destruction
  bool is_watch_;
  HttpParser head_parser_{HttpParser::Kind::kResponse};  // used by a watch
  HttpParser response_parser_;                           // used by a poll
  Stream stream_;
  bool resume_scheduled_ = false;
  bool head_read_ = false;  // watch only: the response head has been read
  ChunkDecoder chunk_decoder_;
  JsonParser line_parser_;
  bool at_line_start_ = true;
  bool line_is_blank_ = true;  // only white space since the last line end
  CallProgress progress_{.started_at = loop_.Now()};
  Time reachable_at_ = loop_.Now();
};

}  // namespace paddlestile

#endif  // PADDLESTILE_DISCOVERY_DISCOVERY_CALL_H_
