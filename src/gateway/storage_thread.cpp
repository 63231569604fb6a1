#include "gateway/storage_thread.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "gateway/cluster_storage.h"
#include "raft/codec.h"

namespace paddlestile {
namespace {

constexpr Duration kDiskFullRetryDelay{200'000};  // us

}  // namespace

StorageThread::StorageThread(EventLoop& loop, std::unique_ptr<storage::WriteAheadLog> log,
                             std::string identity, std::function<void()> on_state_change)
    : loop_(loop),
      on_state_change_(std::move(on_state_change)),
      event_fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      log_(std::move(log)),
      identity_(std::move(identity)) {
  loop_.Watch(event_fd_.get(), this, event_token_);
  thread_ = std::thread([this] { Run(); });
}

StorageThread::~StorageThread() {
  {
    const std::scoped_lock lock(mutex_);
    is_stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
  loop_.Unwatch(event_fd_.get(), event_token_);
}

void StorageThread::Add(const raft::StorageWrite& write) {
  Job job;
  job.sequence_number = write.sequence_number;
  job.record = EncodeLogRecord(raft::ToJson(write));
  job.needs_sync = !write.commit_only;
  job.replaces_log = write.snapshot.has_value();
  {
    const std::scoped_lock lock(mutex_);
    jobs_.push_back(std::move(job));
  }
  wake_.notify_one();
}

StorageThread::State StorageThread::state() {
  const std::scoped_lock lock(mutex_);
  return published_state_;
}

void StorageThread::OnEvents(uint32_t /*events*/) {
  uint64_t count = 0;
  while (read(event_fd_.get(), &count, sizeof(count)) > 0) {
  }
  on_state_change_();
}

void StorageThread::Run() {
  std::deque<Job> batch;
  while (WaitForJobs(batch)) {
    bool needs_sync = false;
    if (!WriteBatch(batch, needs_sync)) {
      return;
    }
    batch.clear();
    if (!thread_state_.failed) {
      SyncBatch(needs_sync);
      PublishState();
    }
  }
}

bool StorageThread::WaitForJobs(std::deque<Job>& batch) {
  std::unique_lock lock(mutex_);
  wake_.wait(lock, [this] { return is_stopping_ || !jobs_.empty(); });
  if (jobs_.empty()) {
    return false;
  }
  std::swap(batch, jobs_);
  return true;
}

bool StorageThread::WriteBatch(std::deque<Job>& batch, bool& needs_sync) {
  while (!batch.empty() && !thread_state_.failed) {
    try {
      WriteJob(batch.front(), needs_sync);
      batch.pop_front();
    } catch (const storage::FileError& error) {
      if (!HandleWriteError(error)) {
        return false;
      }
    }
  }
  return true;
}

void StorageThread::WriteJob(const Job& job, bool& needs_sync) {
  if (job.replaces_log) {
    log_->Replace({identity_, job.record});
    needs_sync = false;  // Replace has made all records durable
  } else {
    log_->Append(job.record);
    needs_sync = needs_sync || job.needs_sync;
  }
  last_written_sequence_number_ = std::max(last_written_sequence_number_, job.sequence_number);
}

bool StorageThread::HandleWriteError(const storage::FileError& error) {
  thread_state_.error = error.what();
  thread_state_.failed = log_->broken() || error.code() != ENOSPC;
  PublishState();
  std::unique_lock lock(mutex_);
  if (is_stopping_) {
    return false;
  }
  if (!thread_state_.failed) {
    wake_.wait_for(lock, kDiskFullRetryDelay, [this] { return is_stopping_; });
  }
  return true;
}

void StorageThread::SyncBatch(bool needs_sync) {
  try {
    if (needs_sync) {
      log_->Sync();
    }
    thread_state_.durable_sequence_number =
        std::max(thread_state_.durable_sequence_number, last_written_sequence_number_);
    thread_state_.error.clear();
    thread_state_.log_bytes = log_->size();
  } catch (const storage::FileError& error) {
    thread_state_.failed = true;
    thread_state_.error = error.what();
  }
}

void StorageThread::PublishState() {
  {
    const std::scoped_lock lock(mutex_);
    published_state_ = thread_state_;
  }
  const uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = write(event_fd_.get(), &one, sizeof(one));
}

}  // namespace paddlestile
