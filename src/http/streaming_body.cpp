#include "http/streaming_body.h"

#include <fmt/format.h>

#include <string>

namespace paddlestile {

BodyWriter::BodyWriter(Stream& stream, std::shared_ptr<StreamingBody> body, bool chunked,
                       bool cancel_on_destruction, std::function<void(bool complete)> done)
    : stream_(stream),
      body_(std::move(body)),
      done_(std::move(done)),
      chunked_(chunked),
      cancel_on_destruction_(cancel_on_destruction) {
  body_->SetDataCallback([this] { Resume(); });
}

BodyWriter::~BodyWriter() {
  if (!body_) {
    return;
  }
  body_->SetDataCallback(nullptr);
  if (cancel_on_destruction_) {
    body_->Cancel();
  }
}

void BodyWriter::Finish(bool complete) {
  if (complete) {
    body_->OnWritten();
    body_ = nullptr;
  }
  // The callback may destroy this writer.
  if (const auto done = std::exchange(done_, nullptr)) {
    done(complete);
  }
}

void BodyWriter::Resume() {
  if (writing_ || !done_ || stream_.closed() || !stream_.flushed()) {
    return;
  }
  if (read_all_) {
    return Finish(true);
  }
  Buffer piece;
  const ParseProgress progress = body_->Read(piece);
  if (progress == ParseProgress::kMalformed) {
    return Finish(false);
  }
  read_all_ = progress == ParseProgress::kDone;
  const std::weak_ptr<bool> alive = alive_;
  writing_ = true;
  WritePiece(std::move(piece));
  if (alive.expired()) {
    return;
  }
  writing_ = false;
  // If the body has not ended, the reading side calls the data callback when there is more.
  if (read_all_ && !stream_.closed() && stream_.flushed()) {
    Finish(true);
  }
}

// Each Write may call the stream's listener, which may destroy this writer.
void BodyWriter::WritePiece(Buffer piece) {
  const std::weak_ptr<bool> alive = alive_;
  if (!piece.empty()) {
    std::string chunk_head;
    if (chunked_) {
      chunk_head = fmt::format("{}{:x}\r\n", first_chunk_ ? "" : "\r\n", piece.size());
      first_chunk_ = false;
    }
    const auto shared_piece = std::make_shared<Buffer>(std::move(piece));
    stream_.Write(std::move(chunk_head), shared_piece, shared_piece->view());
  }
  if (alive.expired()) {
    return;
  }
  if (read_all_ && chunked_) {
    stream_.Write(first_chunk_ ? "0\r\n\r\n" : "\r\n0\r\n\r\n");
  }
}

}  // namespace paddlestile
