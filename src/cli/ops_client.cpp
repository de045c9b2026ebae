// Blocking HTTP call for the command line; fails if a daemon does not answer in
// time.
#include "cli/ops_client.h"

#include "runtime/http_client.h"
#include "runtime/worker.h"

#include <future>

namespace camphorfield {

absl::StatusOr<HttpResponse>
CallDaemon(const std::string& aAddress,
           const HttpRequest& aRequest,
           Duration aTimeout)
{
  std::promise<absl::StatusOr<HttpResponse>> promise;
  Worker worker;
  worker.Spawn([&]() {
    HttpClient client(worker.Context());
    if (client.Connect(aAddress, aTimeout) != HttpEnd::Ok) {
      promise.set_value(absl::UnavailableError("can't connect to " + aAddress));
      return;
    }
    HttpExchange exchange = client.Exchange(aRequest, aTimeout);
    if (exchange.end_ != HttpEnd::Ok) {
      promise.set_value(absl::UnavailableError("no answer from " + aAddress));
      return;
    }
    promise.set_value(std::move(exchange.response_));
  });
  return promise.get_future().get();
}

} // namespace camphorfield
