#include "http/streaming_body.h"

#include <fmt/format.h>

#include <string>

namespace paddlestile {

BodyWriter::BodyWriter(Stream& stream, std::shared_ptr<StreamingBody> body, bool chunked, bool last,
                       std::function<void(bool whole)> done)
    : stream_(stream),
      body_(std::move(body)),
      done_(std::move(done)),
      chunked_(chunked),
      last_(last) {
  body_->SetDataCallback([this] { Resume(); });
}

BodyWriter::~BodyWriter() {
  if (!body_) {
    return;
  }
  body_->SetDataCallback(nullptr);
  if (last_) {
    body_->Cancel();
  }
}

void BodyWriter::Finish(bool whole) {
  // Whoever is told may end this writer.
  if (whole) {
    body_->SetDataCallback(nullptr);
  }
  if (whole) {
    body_ = nullptr;
  }
  const auto done = std::exchange(done_, nullptr);
  if (done) {
    done(whole);
  }
}

void BodyWriter::Resume() {
  if (busy_ || !done_ || stream_.closed()) {
    return;
  }
  if (!stream_.flushed()) {
    return;
  }
  if (over_) {
    return Finish(true);
  }
  Buffer piece;
  const ParseProgress progress = body_->Read(piece);
  if (progress == ParseProgress::kMalformed) {
    return Finish(false);
  }
  over_ = progress == ParseProgress::kDone;
  std::string head;
  if (chunked_ && !piece.empty()) {
    head = fmt::format("{}{:x}\r\n", first_ ? "" : "\r\n", piece.size());
    first_ = false;
  }
  busy_ = true;  // what is written at once is told of at once
  const std::weak_ptr<bool> alive = alive_;
  if (!piece.empty()) {
    const auto kept = std::make_shared<Buffer>(std::move(piece));
    stream_.Write(std::move(head), kept, kept->view());
  }
  if (alive.expired()) {
    return;
  }
  if (over_ && chunked_) {
    stream_.Write(first_ ? "0\r\n\r\n" : "\r\n0\r\n\r\n");
  }
  if (alive.expired()) {
    return;
  }
  busy_ = false;
  if (stream_.closed() || !stream_.flushed()) {
    return;
  }
  // What comes next is told of by the reading side.
  if (over_) {
    Finish(true);
  }
}

}  // namespace paddlestile
