// The interface through which the downstream side reports requests and receives their responses.
#ifndef PADDLESTILE_GATEWAY_REQUEST_LISTENER_H_
#define PADDLESTILE_GATEWAY_REQUEST_LISTENER_H_

#include <memory>
#include <string>

#include "base/time.h"
#include "http/proxied_request.h"

namespace paddlestile {

// The result of admitting a request. Either `request` is set, or the client is sent `error_status`.
struct AdmissionResult {
  std::shared_ptr<ProxiedRequest> request;
  int error_status = 0;  // HTTP status; 0 if the request was admitted
  std::string reason;    // error text for the log and the response body
};

class RequestListener {
 public:
  // Called when a request has been read, in full or, if its body is streamed, up to the end of its
  // head. If the request is admitted, `reply` is called at most once, during this call or later,
  // unless the request is abandoned. `arrived_at`: when its last byte arrived, or the last byte so
  // far.
  virtual AdmissionResult OnRequest(BufferedMessage request, Time arrived_at,
                                    ProxiedRequest::ResponseCallback reply) = 0;
  // Called when the client closed its connection or aborted the request before its response. The
  // request has already been abandoned.
  virtual void OnClientDisconnected(const std::shared_ptr<ProxiedRequest>& request) = 0;

 protected:
  ~RequestListener() = default;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_REQUEST_LISTENER_H_
