#include "lab/stopped_processes.h"

#include <algorithm>
#include <utility>

namespace paddlestile::lab {
namespace {

// Between samples of the accept queue: a connection may be accepted this long after it was last
// seen there.
constexpr Duration kQueueLookInterval{50'000};

// By how much a response may be later because its process was stopped from `from` to `to`.
Duration PauseOf(Time sent_at, Time deadline, Time from, Time to) {
  return from >= deadline ? Duration(0) : std::max(Duration(0), to - std::max(from, sent_at));
}

}  // namespace

size_t StoppedProcesses::StopGateway(size_t gateway, Time from, Time to) {
  stops_.push_back({.gateway = gateway, .from = from, .to = to});
  return stops_.size() - 1;
}

size_t StoppedProcesses::StopHotRestartProcess(size_t gateway, Time from, Time to,
                                               std::vector<Address> accepted,
                                               Duration queue_bound) {
  stops_.push_back({.gateway = gateway,
                    .from = from,
                    .to = to,
                    .is_hot_restart = true,
                    .accepted = std::move(accepted),
                    .queue_bound = queue_bound});
  return stops_.size() - 1;
}

void StoppedProcesses::Continue(size_t stop, Time now) {
  stops_[stop].to = now;
}

bool StoppedProcesses::WatchesQueue(const Stop& stop, size_t gateway, Time now) {
  return stop.is_hot_restart && stop.gateway == gateway && stop.from <= now &&
         now <= std::min(stop.to, stop.from + stop.queue_bound);
}

bool StoppedProcesses::WatchesQueue(size_t gateway, Time now) const {
  return std::ranges::any_of(stops_,
                             [&](const Stop& stop) { return WatchesQueue(stop, gateway, now); });
}

void StoppedProcesses::RecordQueued(size_t gateway, Time now, const std::vector<Address>& clients) {
  for (Stop& stop : stops_) {
    if (!WatchesQueue(stop, gateway, now)) {
      continue;
    }
    for (const Address& client : clients) {
      const auto seen = std::ranges::find(stop.queued, client, &QueuedConnection::client);
      if (seen == stop.queued.end()) {
        stop.queued.push_back({client, now, now});
      } else {
        seen->last_seen = now;
      }
    }
  }
}

std::optional<Ledger::Delay> StoppedProcesses::DelayByStop(const Stop& stop, const Address& client,
                                                           Time sent_at, Time deadline) {
  const bool is_held =
      !stop.is_hot_restart || std::ranges::find(stop.accepted, client) != stop.accepted.end();
  if (is_held) {
    return Ledger::Delay{PauseOf(sent_at, deadline, stop.from, stop.to), Excuse::kProcessStopped};
  }
  const auto queued = std::ranges::find(stop.queued, client, &QueuedConnection::client);
  if (queued == stop.queued.end()) {
    return std::nullopt;
  }
  const Time until = queued->last_seen + kQueueLookInterval;
  return Ledger::Delay{PauseOf(sent_at, deadline, stop.from, until), Excuse::kInAcceptQueue};
}

std::optional<Ledger::Delay> StoppedProcesses::DelayOf(size_t gateway, const Address& client,
                                                       Time sent_at, Time deadline) const {
  std::optional<Ledger::Delay> sum;
  for (const Stop& stop : stops_) {
    if (stop.gateway != gateway) {
      continue;
    }
    const auto delay = DelayByStop(stop, client, sent_at, deadline);
    if (!delay || delay->duration == Duration(0)) {
      continue;
    }
    sum = Ledger::Delay{delay->duration + (sum ? sum->duration : Duration(0)), delay->excuse};
  }
  return sum;
}

}  // namespace paddlestile::lab
