#include "gateway/upstream.h"

#include <vector>

#include "base/log.h"
#include "base/metrics.h"

namespace paddlestile {
namespace {

// Probe timeout in multiples of the connect timeout: one for the connect, one for the response.
constexpr int kProbeConnectTimeouts = 2;

}  // namespace

Upstream::Upstream(EventLoop& loop, DescriptorBudget& budget, Options options, Listener* listener)
    : loop_(loop),
      options_(std::move(options)),
      listener_(listener),
      pool_(loop, budget, options_, *this) {}

std::optional<Address> Upstream::EndpointAddress(const std::string& endpoint) {
  const UpstreamHost* const host = pool_.FindHost(endpoint);
  return host == nullptr ? std::nullopt : std::optional(host->address);
}

void Upstream::StartAttempt(std::shared_ptr<ProxiedRequest> request, size_t attempt,
                            const std::string& endpoint, Time deadline) {
  auto transaction = std::make_unique<UpstreamTransaction>();
  transaction->request = std::move(request);
  transaction->attempt = attempt;
  transaction->endpoint = endpoint;
  transaction->started_at = loop_.Now();
  transaction->deadline = deadline;
  UpstreamHost* const host = pool_.FindHost(endpoint);
  if (host == nullptr || deadline <= transaction->started_at) {
    return ReportNotSent(*transaction);
  }
  StartOnConnection(std::move(transaction), *host);
}

void Upstream::StartProbe(const std::string& endpoint) {
  auto transaction = std::make_unique<UpstreamTransaction>();
  transaction->endpoint = endpoint;
  transaction->started_at = loop_.Now();
  transaction->deadline =
      transaction->started_at + kProbeConnectTimeouts * options_.connect_timeout;
  UpstreamHost* const host = pool_.FindHost(endpoint);
  if (host == nullptr) {
    return ReportNotSent(*transaction);
  }
  StartOnConnection(std::move(transaction), *host);
}

void Upstream::StartOnConnection(std::unique_ptr<UpstreamTransaction> transaction,
                                 UpstreamHost& host) {
  if (UpstreamConnection* const idle = pool_.TakeIdle(host)) {
    return idle->Start(std::move(transaction));
  }
  const UpstreamConnectionPool::OpenResult opened = pool_.Open(host);
  if (opened.connection == nullptr) {
    return Report(*transaction, opened.failure, std::nullopt, nullptr);
  }
  opened.connection->Start(std::move(transaction));
}

void Upstream::CancelAttempt(const ProxiedRequest& request, size_t attempt) {
  for (const auto& [connection, owned] : pool_.connections()) {
    const UpstreamTransaction* const transaction = connection->transaction();
    if (transaction == nullptr || transaction->request.get() != &request ||
        transaction->attempt != attempt) {
      continue;
    }
    if (transaction->response_started) {
      return;  // the response is already being passed to the client
    }
    connection->LogResponseCut(ResponseCut::kLoadBalancer);
    return OnTransactionFinished(*connection, Outcome::kCancelled, std::nullopt, nullptr);
  }
}

void Upstream::OnClientDisconnected(const ProxiedRequest& request) {
  std::vector<UpstreamConnection*> unwritten, started;
  for (const auto& [connection, owned] : pool_.connections()) {
    const UpstreamTransaction* const transaction = connection->transaction();
    if (transaction == nullptr || transaction->request.get() != &request) {
      continue;
    }
    // The endpoint does not execute a request that was not written in full.
    if (!connection->request_written()) {
      unwritten.push_back(connection);
    }
    if (transaction->response_started) {
      started.push_back(connection);
    }
  }
  for (UpstreamConnection* const connection : unwritten) {
    OnTransactionFinished(*connection, Outcome::kNotSent, std::nullopt, nullptr);
  }
  for (UpstreamConnection* const connection : started) {
    connection->LogResponseCut(ResponseCut::kClientClosed);
    OnTransactionFinished(*connection, Outcome::kCancelled, std::nullopt, nullptr);
  }
}

void Upstream::CloseIdleConnections(const std::string& endpoint) {
  if (UpstreamHost* const host = pool_.FindHost(endpoint)) {
    pool_.CloseIdleOf(*host);
  }
}

// ---- UpstreamConnection::Owner --------------------------------------------------------------

void Upstream::OnTransactionFinished(UpstreamConnection& connection, Outcome outcome,
                                     std::optional<LoadReport> report,
                                     std::shared_ptr<const BufferedMessage> response) {
  if (connection.pool_state().idle) {
    return;  // the transaction has already ended
  }
  const auto transaction = connection.TakeTransaction();
  const bool response_complete =
      response || outcome == Outcome::kError || outcome == Outcome::kRejected;
  if (response_complete && connection.IsReusable()) {
    pool_.Release(connection);
  } else {
    pool_.Close(connection);
  }
  if (PADDLESTILE_CHECK(transaction != nullptr)) {
    Report(*transaction, outcome, std::move(report), std::move(response));
  }
}

void Upstream::OnStreamedResponse(std::unique_ptr<UpstreamTransaction> transaction, Outcome outcome,
                                  std::optional<LoadReport> report,
                                  std::shared_ptr<const BufferedMessage> response) {
  Report(*transaction, outcome, std::move(report), std::move(response));
}

void Upstream::OnResponseStarted(const UpstreamTransaction& transaction) {
  listener_->OnResponseStarted(transaction.request, transaction.attempt, transaction.endpoint,
                               loop_.Now() - transaction.started_at);
}

void Upstream::OnConnectionUnusable(UpstreamConnection& connection) {
  auto transaction = connection.TakeTransaction();
  ++GlobalCounters().upstream_idle_lost;
  UpstreamHost& host = pool_.CloseButKeepHost(connection);
  const bool request_done = !transaction->is_probe() && transaction->request->done();
  if (request_done || !host.listed || transaction->deadline <= loop_.Now()) {
    ReportNotSent(*transaction);
    return pool_.MaybeEraseHost(host);
  }
  StartOnConnection(std::move(transaction), host);
}

void Upstream::ReportNotSent(const UpstreamTransaction& transaction) {
  Report(transaction, Outcome::kNotSent, std::nullopt, nullptr);
}

void Upstream::Report(const UpstreamTransaction& transaction, Outcome outcome,
                      std::optional<LoadReport> report,
                      std::shared_ptr<const BufferedMessage> response) {
  const Duration elapsed = loop_.Now() - transaction.started_at;
  if (transaction.is_probe()) {
    if (outcome == Outcome::kOk) {
      ++GlobalCounters().probes_ok;
    }
    listener_->OnProbeFinished(transaction.endpoint, outcome, elapsed, std::move(report));
    return;
  }
  if (IsLogEnabled(LogLevel::kDebug)) {
    Log(LogLevel::kDebug, "attempt {} of {} at {}: outcome {} after {:.1f} ms", transaction.attempt,
        transaction.request->id(), transaction.endpoint, static_cast<int>(outcome),
        ToMilliseconds(elapsed));
  }
  listener_->OnAttemptFinished(transaction.request, transaction.attempt, transaction.endpoint,
                               outcome, elapsed, std::move(report), std::move(response));
}

}  // namespace paddlestile
