#pragma once

#include "standins/hoststandin.h"
#include "standins/platformstandin.h"
#include "standins/proxystandin.h"

#include "carobflow/connectors/httpclient.h"

#include <chrono>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>

namespace Carobflow
{

/// Runs coroutines, clients and stand-ins on one io_context in the thread of the test.
struct ConnectorFixture {
    boost::asio::io_context io;
    std::shared_ptr<HttpClient> client = std::make_shared<HttpClient>(io.get_executor());

    /// Runs a coroutine to its end and returns its value; fails after 20 s.
    template<typename T>
    T run(boost::asio::awaitable<T> coroutine)
    {
        std::optional<T> result;
        std::exception_ptr failure;
        boost::asio::co_spawn(io, std::move(coroutine), [&](std::exception_ptr exception, T value) {
            failure = std::move(exception);
            result = std::move(value);
        });
        runUntil([&] { return result.has_value(); });
        if (failure) {
            std::rethrow_exception(failure);
        }
        return std::move(*result);
    }

    /// Runs the io_context until the condition holds; fails after 20 s.
    void runUntil(const std::function<bool()> &condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition()) {
            if (std::chrono::steady_clock::now() > deadline) {
                throw std::runtime_error("the condition did not become true within 20 s");
            }
            io.restart();
            io.run_one_for(std::chrono::milliseconds(20));
        }
    }

    HttpOutcome call(std::uint16_t port, HttpRequest request)
    {
        return run(client->call({.host = "127.0.0.1", .port = port}, std::move(request)));
    }

    /// Makes a control call of a stand-in and returns the parsed response.
    boost::json::object control(std::uint16_t port, const std::string &body)
    {
        return parsed(call(port, {.method = "POST", .target = "/control", .body = body}));
    }

    boost::json::object get(std::uint16_t port, const std::string &target)
    {
        return parsed(call(port, {.target = target}));
    }

private:
    static boost::json::object parsed(const HttpOutcome &outcome)
    {
        const auto &answer = std::get<HttpAnswer>(outcome);
        if (answer.status != 200) {
            throw std::runtime_error("status " + std::to_string(answer.status) + ": " + answer.body);
        }
        return boost::json::parse(answer.body).as_object();
    }
};

} // namespace Carobflow
