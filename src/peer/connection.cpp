#include "peer/connection.h"

#include <utility>

namespace paddlestile::peer {
namespace {

using nlohmann::json;

// The input buffer must hold a frame of the maximum size.
constexpr size_t kMaxUnreadBytes = kMaxFrameBytes + 64;
// Frames read from one connection per round of the event loop, so that others are not delayed.
constexpr int kMaxFramesPerRound = 32;
// The lowest rate at which a frame of a member may arrive beyond the timeout. A snapshot on a slow
// link would otherwise be cut off each time, and the member would never catch up.
constexpr size_t kMinBytesPerSecond = 16 << 10;

}  // namespace

Connection::Connection(EventLoop& loop, Socket socket, std::string dialed_name,
                       size_t max_queued_bytes, PeerStatistics& statistics, Owner& owner)
    : loop_(loop),
      stream_(loop, std::move(socket), this, !dialed_name.empty()),
      dialed_name_(std::move(dialed_name)),
      max_queued_bytes_(max_queued_bytes),
      statistics_(statistics),
      owner_(owner),
      last_frame_at_(loop.Now()),
      last_bytes_at_(last_frame_at_) {
  stream_.set_max_unread_bytes(kMaxUnreadBytes);
}

std::string Connection::Encode(const json& value) const {
  return is_checked_ ? EncodeCheckedFrame(value, checked_frames_sent_) : EncodeFrame(value);
}

void Connection::Send(const json& value) {
  std::string frame = Encode(value);
  if (!stream_.flushed() && queued_bytes_ + frame.size() > max_queued_bytes_) {
    ++statistics_.dropped;
    return;
  }
  if (stream_.flushed()) {
    queued_bytes_ = 0;
  }
  queued_bytes_ += frame.size();
  if (is_checked_) {
    ++checked_frames_sent_;
  }
  ++statistics_.frames_out;
  statistics_.bytes_out += frame.size();
  stream_.Write(std::move(frame));
}

void Connection::SendLast(const json& value) {
  ends_after_write_ = true;
  Send(value);
  if (!closed_ && stream_.flushed()) {
    owner_.OnEnd(*this, "");
  }
}

bool Connection::Close() {
  if (std::exchange(closed_, true)) {
    return false;
  }
  stream_.Close();
  return true;
}

void Connection::SetMember(std::string name, uint64_t incarnation, uint64_t restart_count) {
  name_ = std::move(name);
  incarnation_ = incarnation;
  restart_count_ = restart_count;
  is_member_ = true;
}

bool Connection::IsSilent(Time now, Duration timeout) {
  if (!is_member_) {
    return now - last_frame_at_ > timeout;
  }
  const auto unfinished_bytes = static_cast<int64_t>(stream_.input().size());
  const Duration transfer_time(unfinished_bytes * 1'000'000 / int64_t{kMinBytesPerSecond});
  return now - last_bytes_at_ > timeout || now - last_frame_at_ > timeout + transfer_time;
}

void Connection::OnData() {
  last_bytes_at_ = loop_.Now();
  ReadFrames();
}

void Connection::OnWriteComplete() {
  queued_bytes_ = 0;
  if (ends_after_write_) {
    owner_.OnEnd(*this, "");
  }
}

void Connection::ReadFrames() {
  for (int count = 0; count < kMaxFramesPerRound; ++count) {
    if (closed_ || !ReadFrame()) {
      return;
    }
  }
  loop_.RunAfterRound([this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      ReadFrames();
    }
  });
}

FrameStatus Connection::TakeNextFrame(json& value) {
  if (!is_checked_) {
    return TakeFrame(stream_.input(), value);
  }
  const FrameStatus status = TakeCheckedFrame(stream_.input(), checked_frames_received_, value);
  if (status == FrameStatus::kComplete) {
    ++checked_frames_received_;
  }
  return status;
}

bool Connection::ReadFrame() {
  json value;
  const size_t unread_bytes = stream_.input().size();
  const FrameStatus status = TakeNextFrame(value);
  statistics_.bytes_in += unread_bytes - stream_.input().size();
  switch (status) {
    case FrameStatus::kMalformed:
      ++statistics_.malformed_frames;
      owner_.OnEnd(*this, "malformed frame");
      return false;
    case FrameStatus::kChecksumMismatch:
      ++statistics_.checksum_mismatches;
      owner_.OnEnd(*this, "frame checksum mismatch");
      return false;
    case FrameStatus::kIncomplete:
      if (stream_.ended()) {
        owner_.OnEnd(*this, "closed by the peer");
      } else {
        stream_.ResumeReading();
      }
      return false;
    case FrameStatus::kComplete:
      break;
  }
  ++statistics_.frames_in;
  last_frame_at_ = loop_.Now();
  owner_.OnFrame(*this, value);
  return true;
}

}  // namespace paddlestile::peer
