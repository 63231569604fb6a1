// A connection that transports frames: to a member, from a member, or from an operator's command.
#ifndef PADDLESTILE_PEER_CONNECTION_H_
#define PADDLESTILE_PEER_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "event/event_loop.h"
#include "event/stream.h"
#include "peer/framing.h"
#include "peer/statistics.h"

namespace paddlestile::peer {

// States, controlled by the owner:
//
//   unidentified  until the other end's hello or an operator's call is accepted
//   identified    as a member: transports frames in both directions; as a call: gets one reply
//   closed        the stream is closed; the owner destroys the connection later, in the same round
//                 of the event loop
class Connection final : public Stream::Listener {
 public:
  // Receives the connection's events. The owner may close the connection in a callback, but must
  // not destroy it there.
  class Owner {
   public:
    virtual void OnFrame(Connection& connection, const nlohmann::json& value) = 0;
    // The connection failed or ended for `reason`. The owner must close it.
    virtual void OnEnd(Connection& connection, std::string_view reason) = 0;

   protected:
    ~Owner() = default;
  };

  // `dialed_name` is the member that this end connects to; empty for an accepted connection. Frames
  // are dropped if more than `max_queued_bytes` would be waiting to be sent. `statistics` and
  // `owner` must outlive the connection.
  Connection(EventLoop& loop, Socket socket, std::string dialed_name, size_t max_queued_bytes,
             PeerStatistics& statistics, Owner& owner);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  virtual ~Connection() = default;

  // From now on, all frames in both directions have checksums.
  void EnableChecksums() { is_checked_ = true; }

  // Starts reading. Returns false if the event loop cannot watch the socket.
  bool Start() { return stream_.Start(); }

  // Sends a frame, or drops it if too many bytes are queued.
  void Send(const nlohmann::json& value);
  // Sends a last frame, after which the connection ends.
  void SendLast(const nlohmann::json& value);

  // Closes the stream. Returns false if it was already closed.
  bool Close();
  [[nodiscard]] bool closed() const { return closed_; }

  // Identifies the connection as one to the member `name`, with the given incarnation and restart
  // count.
  void SetMember(std::string name, uint64_t incarnation, uint64_t restart_count);
  // Whether SetMember() was called.
  [[nodiscard]] bool is_member() const { return is_member_; }
  [[nodiscard]] const std::string& name() const { return name_; }  // empty until SetMember()
  [[nodiscard]] uint64_t incarnation() const { return incarnation_; }
  [[nodiscard]] uint64_t restart_count() const { return restart_count_; }

  // Identifies the connection as that of an operator's call.
  void set_call(uint64_t call) { call_ = call; }
  [[nodiscard]] uint64_t call() const { return call_; }  // 0: none

  // Whether this is an accepted connection that has not been identified yet.
  [[nodiscard]] bool is_unidentified() const { return is_unidentified_; }
  void set_unidentified(bool unidentified) { is_unidentified_ = unidentified; }

  [[nodiscard]] bool is_dialed() const { return !dialed_name_.empty(); }
  [[nodiscard]] const std::string& dialed_name() const { return dialed_name_; }
  // Returns whether nothing has been received for longer than `timeout`. Bytes of a member's frame
  // that is not complete count as long as the frame arrives at a minimum rate.
  [[nodiscard]] bool IsSilent(Time now, Duration timeout);

 private:
  void OnData() override;
  void OnWriteComplete() override;
  void OnError() override { owner_.OnEnd(*this, "socket error"); }
  [[nodiscard]] std::string Encode(const nlohmann::json& value) const;
  [[nodiscard]] FrameStatus TakeNextFrame(nlohmann::json& value);
  void ReadFrames();
  // Reads one frame and reports it. Returns false if no frame is complete or the connection ended.
  bool ReadFrame();

  EventLoop& loop_;
  Stream stream_;
  std::string dialed_name_;
  size_t max_queued_bytes_;
  PeerStatistics& statistics_;
  Owner& owner_;
  std::string name_;
  uint64_t incarnation_ = 0;
  uint64_t restart_count_ = 0;
  uint64_t call_ = 0;
  bool is_checked_ = false;               // whether frames have checksums
  uint64_t checked_frames_sent_ = 0;      // sequence number of the next checked frame to send
  uint64_t checked_frames_received_ = 0;  // sequence number of the next checked frame to receive
  bool is_member_ = false;
  bool is_unidentified_ = false;
  bool closed_ = false;
  bool ends_after_write_ = false;
  Time last_frame_at_, last_bytes_at_;  // initially when the connection was created
  size_t queued_bytes_ = 0;             // upper bound of the unsent bytes; reset once all are sent
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // expires with the connection
};

}  // namespace paddlestile::peer

#endif  // PADDLESTILE_PEER_CONNECTION_H_
