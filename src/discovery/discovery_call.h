// One connection to the discovery agent: a watch, or a poll. Used by DiscoveryClient only.
#ifndef PADDLESTILE_DISCOVERY_DISCOVERY_CALL_H_
#define PADDLESTILE_DISCOVERY_DISCOVERY_CALL_H_

#include <memory>

#include "config/json.h"
#include "discovery/discovery_client.h"
#include "event/event_loop.h"
#include "event/socket.h"
#include "event/stream.h"
#include "http/chunk_decoder.h"
#include "http/http_parser.h"

namespace paddlestile {

// A poll reads one response with the complete list. A watch reads a chunked response without end:
// JSON objects, each closed by a line end; empty lines keep it alive. Ends by one of the client's
// OnCallFailed and OnOversizedList, or, for a poll, with its list. Owned by the client, which frees
// it after the running handler.
class DiscoveryClient::Call final : public Stream::Listener {
 public:
  Call(DiscoveryClient& client, Socket socket, bool watch);
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;
  virtual ~Call();

  // False where the kernel does not watch the connection.
  bool Start();
  void Stop();
  [[nodiscard]] bool is_watch() const { return is_watch_; }
  // When the call began, or last showed that the agent is reachable.
  [[nodiscard]] Time reachable_at() const { return reachable_at_; }

 private:
  void OnConnected() override;
  void OnData() override;
  void OnError() override;

  void ReadPollResponse();
  // True once the head has been read.
  bool ReadWatchHead();
  void ReadWatchLines();
  // One line or a part of one; false where the call has ended.
  bool ReadPiece(std::string_view piece, bool ends_line);
  // False where the line is malformed, or the watch is to begin anew.
  bool OnLineEnd();
  void ResumeReadingAfterRound();
  void SetTimer(Duration timeout);

  DiscoveryClient& client_;
  EventLoop& loop_;  // may outlive the client, as tasks that were put off may
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // expires with this, for tasks
  bool is_watch_;
  HttpParser head_parser_{HttpParser::Kind::kResponse};  // of a watch
  HttpParser response_parser_;                           // of a poll
  Stream stream_;
  bool resume_scheduled_ = false;
  bool in_body_ = false;  // of a watch: the head has been read
  ChunkDecoder chunk_decoder_;
  JsonParser line_parser_;
  bool at_line_start_ = true;
  bool line_is_blank_ = true;  // nothing but white space since the last line end
  EventLoop::TimerId timer_;
  Time reachable_at_ = loop_.Now();
};

}  // namespace paddlestile

#endif  // PADDLESTILE_DISCOVERY_DISCOVERY_CALL_H_
