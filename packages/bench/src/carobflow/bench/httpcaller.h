#pragma once

#include "carobflow/connectors/httpclient.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

namespace Carobflow::Bench
{

/// Makes blocking HTTP calls for code that is not a coroutine. Runs its own executor on its own threads.
class HttpCaller
{
public:
    explicit HttpCaller(unsigned threads = 2);
    ~HttpCaller();
    HttpCaller(const HttpCaller &) = delete;
    HttpCaller &operator=(const HttpCaller &) = delete;

    /// Makes a call and blocks until its outcome is known.
    HttpOutcome call(HttpEndpoint endpoint, HttpRequest request);

    /// Makes a call and returns the answer, whatever its status; throws std::runtime_error when there is none.
    HttpAnswer mustCall(HttpEndpoint endpoint, HttpRequest request);

    /// GETs a JSON document; throws std::runtime_error unless it is answered with a status below 300.
    boost::json::value getJson(HttpEndpoint endpoint, std::string_view target);

    /// POSTs a JSON document; throws std::runtime_error unless it is answered with a status below 300.
    boost::json::value postJson(HttpEndpoint endpoint, std::string_view target, const boost::json::value &body);

    [[nodiscard]] boost::asio::any_io_executor executor();
    [[nodiscard]] HttpClient &client();

private:
    class Private;
    std::unique_ptr<Private> d;
};

/// Polls until a condition holds; throws std::runtime_error with the description when the limit passes.
void waitUntil(std::string_view description,
               const std::function<bool()> &condition,
               Milliseconds limit = Milliseconds(20000));

} // namespace Carobflow::Bench
