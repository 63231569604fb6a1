// The thread that writes the Raft log. The event loop queues records and goes on serving; the
// thread appends them in order, syncs each batch once, and reports through an eventfd. A slow or
// stuck disk therefore holds up no request.
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
    bool failed = false;                   // permanent: nothing is written any more
    std::string error;  // why it failed or, where it has not, why it waits for space; else empty
    uint64_t log_bytes = 0;
  };

  // Owns `log`. `identity` is the record that a replaced log begins with. `on_state_change` runs on
  // the loop's thread after each change of state(); it must not destroy this object.
  StorageThread(EventLoop& loop, std::unique_ptr<storage::WriteAheadLog> log, std::string identity,
                std::function<void()> on_state_change);
  // Waits until what is queued is written, or its write has failed.
  virtual ~StorageThread();
  StorageThread(const StorageThread&) = delete;
  StorageThread& operator=(const StorageThread&) = delete;

  // Queues a write. Its sequence number must exceed those of all earlier ones.
  void Add(const raft::StorageWrite& write);

  // As of the last completed batch or error.
  [[nodiscard]] State state();

 private:
  struct Job {
    uint64_t sequence_number = 0;
    std::string record;
    bool needs_sync = true;     // false: may stay unsynced until another write needs it
    bool replaces_log = false;  // a snapshot: takes the place of all earlier records
  };
  void OnEvents(uint32_t events) override;
  void Run();
  // Waits for jobs; false once the object is being destroyed and none is left.
  bool WaitForJobs(std::deque<Job>& batch);
  // Writes the batch's jobs to the log, unsynced but for replacements. False: stopped while it
  // waited for space.
  bool WriteBatch(std::deque<Job>& batch, bool& needs_sync);
  void WriteJob(const Job& job, bool& needs_sync);
  // Records the error and waits a while if the disk is full. False: the object is being destroyed.
  bool HandleWriteError(const storage::FileError& error);
  void SyncBatch(bool needs_sync);
  void PublishState();

  EventLoop& loop_;
  std::function<void()> on_state_change_;
  FileDescriptor event_fd_;
  uint64_t event_token_ = 0;

  // The thread's own.
  std::unique_ptr<storage::WriteAheadLog> log_;
  std::string identity_;
  State thread_state_;
  uint64_t last_written_sequence_number_ = 0;  // perhaps not yet synced

  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Job> jobs_;      // guarded by mutex_
  State published_state_;     // guarded by mutex_
  bool is_stopping_ = false;  // guarded by mutex_
  std::thread thread_;        // last: starts when all else is there
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_STORAGE_THREAD_H_
