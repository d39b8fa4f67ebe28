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

/// Runs an executor with threads of its own, so that tests can make HTTP calls from plain functions.
class HttpCaller
{
public:
    explicit HttpCaller(unsigned threads = 2);
    ~HttpCaller();
    HttpCaller(const HttpCaller &) = delete;
    HttpCaller &operator=(const HttpCaller &) = delete;

    /// Makes a call and waits for its outcome.
    HttpOutcome call(HttpEndpoint endpoint, HttpRequest request);

    /// Makes a call that must be answered; throws std::runtime_error otherwise.
    HttpAnswer mustCall(HttpEndpoint endpoint, HttpRequest request);

    /// GETs a JSON document; throws std::runtime_error when it is not answered with status 200.
    boost::json::value getJson(HttpEndpoint endpoint, std::string_view target);

    /// POSTs a JSON document that must be answered with a status below 300; throws std::runtime_error otherwise.
    boost::json::value postJson(HttpEndpoint endpoint, std::string_view target, const boost::json::value &body);

    [[nodiscard]] boost::asio::any_io_executor executor();
    [[nodiscard]] HttpClient &client();

private:
    class Private;
    std::unique_ptr<Private> d;
};

/// Waits until a condition holds; throws std::runtime_error with the description when the time passes.
void waitUntil(std::string_view description,
               const std::function<bool()> &condition,
               Milliseconds limit = Milliseconds(20000));

} // namespace Carobflow::Bench
