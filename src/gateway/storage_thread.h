// The thread that writes the Raft log, so that a slow or stuck disk delays no request. The event
// loop queues records; the thread appends them in order, syncs each batch once, and notifies the
// event loop through an eventfd.
#ifndef PADDLESTILE_GATEWAY_STORAGE_THREAD_H_
#define PADDLESTILE_GATEWAY_STORAGE_THREAD_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "base/file_descriptor.h"
#include "event/event_loop.h"
#include "raft/raft_node.h"
#include "storage/write_ahead_log.h"

namespace paddlestile {

class StorageThread final : public EventLoop::Handler {
 public:
  struct State {
    uint64_t durable_sequence_number = 0;  // this write and all before it are durable
    bool failed = false;                   // permanent: nothing is written from then on
    // The reason of the failure or, if `failed` is false, of waiting for disk space. Else empty.
    std::string error;
    uint64_t log_bytes = 0;  // size of the log file
  };

  // Takes ownership of `log`. `identity` is the first record of a log that replaces another one.
  // `on_state_change` runs on the loop's thread after each change of state() and must not destroy
  // this object.
  StorageThread(EventLoop& loop, std::unique_ptr<storage::WriteAheadLog> log, std::string identity,
                std::function<void()> on_state_change);
  // Waits until all queued records have been written or writing has failed.
  virtual ~StorageThread();
  StorageThread(const StorageThread&) = delete;
  StorageThread& operator=(const StorageThread&) = delete;

  // Queues a write. Its sequence number must exceed those of all earlier ones.
  void Add(const raft::StorageWrite& write);

  // Returns the state after the last completed batch or error.
  [[nodiscard]] State state();

 private:
  struct Job {
    uint64_t sequence_number = 0;
    std::string record;
    bool needs_sync = true;     // if false, it need not be synced before another write needs it
    bool replaces_log = false;  // a snapshot, which replaces all earlier records
  };
  void OnEvents(uint32_t events) override;
  void Run();
  // Waits for jobs. Returns false if the object is being destroyed and no job is left.
  bool WaitForJobs(std::deque<Job>& batch);
  // Writes the jobs of the batch to the log. Only replacements are synced. Returns false if the
  // object is being destroyed after a failed write.
  bool WriteBatch(std::deque<Job>& batch, bool& needs_sync);
  void WriteJob(const Job& job, bool& needs_sync);
  // Publishes the error and, if the disk is full, waits before the next attempt. Returns false if
  // the object is being destroyed.
  bool HandleWriteError(const storage::FileError& error);
  void SyncBatch(bool needs_sync);
  void PublishState();

  EventLoop& loop_;
  std::function<void()> on_state_change_;
  FileDescriptor event_fd_;
  uint64_t event_token_ = 0;

  // Used by the storage thread only.
  std::unique_ptr<storage::WriteAheadLog> log_;
  std::string identity_;
  State thread_state_;
  uint64_t last_written_sequence_number_ = 0;  // perhaps not yet synced

  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Job> jobs_;      // guarded by mutex_
  State published_state_;     // guarded by mutex_
  bool is_stopping_ = false;  // guarded by mutex_
  std::thread thread_;        // the last member, so that it starts after all others are initialized
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_STORAGE_THREAD_H_
