#include "carobflow/bench/httpcaller.h"

#include <stdexcept>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace Carobflow::Bench
{

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds PollInterval{10};

boost::json::value parseAnswer(std::string_view target, const HttpAnswer &answer)
{
    if (answer.status >= 300) {
        throw std::runtime_error(std::string(target) + " was answered with status " + std::to_string(answer.status)
                                 + ": " + answer.body);
    }
    boost::system::error_code error;
    auto value = boost::json::parse(answer.body, error);
    return error ? boost::json::value() : value;
}

} // namespace

class HttpCaller::Private
{
public:
    explicit Private(unsigned threadCount)
        : guard(asio::make_work_guard(context))
        , client(context.get_executor(), HttpClient::Options{.maxIdlePerEndpoint = 256})
    {
        for (unsigned index = 0; index < threadCount; ++index) {
            threads.emplace_back([this] { context.run(); });
        }
    }

    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    HttpClient client;
    std::vector<std::thread> threads;
};

HttpCaller::HttpCaller(unsigned threads)
    : d(std::make_unique<Private>(threads))
{
}

HttpCaller::~HttpCaller()
{
    d->context.stop();
    for (std::thread &thread : d->threads) {
        thread.join();
    }
}

HttpOutcome HttpCaller::call(HttpEndpoint endpoint, HttpRequest request)
{
    return asio::co_spawn(d->context, d->client.call(std::move(endpoint), std::move(request)), asio::use_future).get();
}

HttpAnswer HttpCaller::mustCall(HttpEndpoint endpoint, HttpRequest request)
{
    const std::string what = request.method + " " + request.target;
    HttpOutcome outcome = call(std::move(endpoint), std::move(request));
    if (auto *answer = std::get_if<HttpAnswer>(&outcome)) {
        return std::move(*answer);
    }
    const auto *notSent = std::get_if<HttpNotSent>(&outcome);
    throw std::runtime_error(what + " was not answered: "
                             + (notSent != nullptr ? notSent->reason : std::get<HttpUnanswered>(outcome).reason));
}

boost::json::value HttpCaller::getJson(HttpEndpoint endpoint, std::string_view target)
{
    return parseAnswer(target, mustCall(std::move(endpoint), {.target = std::string(target)}));
}

boost::json::value HttpCaller::postJson(HttpEndpoint endpoint, std::string_view target, const boost::json::value &body)
{
    return parseAnswer(target,
                       mustCall(std::move(endpoint),
                                {.method = "POST",
                                 .target = std::string(target),
                                 .headers = {{"Content-Type", "application/json"}},
                                 .body = boost::json::serialize(body)}));
}

asio::any_io_executor HttpCaller::executor()
{
    return d->context.get_executor();
}

HttpClient &HttpCaller::client()
{
    return d->client;
}

void waitUntil(std::string_view description, const std::function<bool()> &condition, Milliseconds limit)
{
    const TimePoint deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            throw std::runtime_error("timed out waiting until " + std::string(description));
        }
        std::this_thread::sleep_for(PollInterval);
    }
}

} // namespace Carobflow::Bench
