// What the downstream side reports of the requests that it reads, and how it is answered.
#ifndef PADDLESTILE_GATEWAY_REQUEST_LISTENER_H_
#define PADDLESTILE_GATEWAY_REQUEST_LISTENER_H_

#include <memory>
#include <string>

#include "http/proxied_request.h"

namespace paddlestile {

// Whether a request was admitted. Either `request` is set, or the client gets `error_status`.
struct AdmissionResult {
  std::shared_ptr<ProxiedRequest> request;
  int error_status = 0;  // HTTP status; 0 where the request was admitted
  std::string reason;    // for the log and the response body of an error
};

class RequestListener {
 public:
  // A request has been read: all of it, or its head where the body streams. Where it is admitted,
  // `reply` is called at most once, later or within this call, unless the request is abandoned.
  virtual AdmissionResult OnRequest(BufferedMessage request,
                                    ProxiedRequest::ResponseCallback reply) = 0;
  // The client closed its connection, or broke the request off, before its response. The request
  // is abandoned already.
  virtual void OnClientDisconnected(const std::shared_ptr<ProxiedRequest>& request) = 0;
  // The last byte of a streamed request has been read: its deadline runs from here.
  virtual void OnRequestComplete(const std::shared_ptr<ProxiedRequest>& request) = 0;

 protected:
  ~RequestListener() = default;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_REQUEST_LISTENER_H_
