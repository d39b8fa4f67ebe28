#include "carobflow/bench/load.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <random>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Carobflow::Bench
{
namespace
{

namespace asio = boost::asio;

/// State shared by the requests of one run.
struct LoadRun {
    LoadRun(HttpCaller &httpCaller, Load::Options loadOptions, std::uint64_t runId)
        : caller(httpCaller)
        , options(std::move(loadOptions))
        , id(runId)
    {
    }

    HttpCaller &caller;
    Load::Options options;
    std::uint64_t id = 0;
    std::mutex mutex;
    LoadSummary summary;
    std::atomic<std::uint64_t> pending{0};
};

std::string_view outcomeOf(const HttpAnswer &answer)
{
    return answer.header("Carobflow-Outcome");
}

void count(LoadRun &run, const HttpOutcome &outcome, const std::string &marker, double milliseconds)
{
    const std::lock_guard lock(run.mutex);
    if (run.options.observer) {
        run.options.observer(marker, outcome);
    }
    if (const auto *answer = std::get_if<HttpAnswer>(&outcome)) {
        if (outcomeOf(*answer) == "not-run") {
            ++run.summary.notRun;
        } else if (outcomeOf(*answer) == "unknown") {
            ++run.summary.unknown;
        } else if (answer->body.find(marker) == std::string::npos) {
            ++run.summary.wrong;
        } else {
            ++run.summary.answered;
            run.summary.answeredMilliseconds.push_back(milliseconds);
        }
    } else if (std::holds_alternative<HttpNotSent>(outcome)) {
        ++run.summary.refused;
    } else {
        ++run.summary.cut;
    }
}

asio::awaitable<void> delay(double milliseconds)
{
    if (milliseconds > 0) {
        asio::steady_timer timer(
            co_await asio::this_coro::executor,
            std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds)));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> sendOne(std::shared_ptr<LoadRun> run, HttpEndpoint entry, std::uint64_t number)
{
    const std::string marker = "request-" + std::to_string(run->id) + "-" + std::to_string(number) + "-end";
    HttpRequest request{.method = "POST",
                        .target = "/v1/services/" + run->options.service
                            + (run->options.charges ? "/charges" : "/quote"),
                        .headers = {{"Carobflow-Timeout-Ms", std::to_string(run->options.timeout.count())}},
                        .body = marker,
                        .timeout = run->options.timeout + Milliseconds(2000)};
    if (run->options.charges) {
        request.headers.push_back({.name = "Idempotency-Key", .value = marker});
    }
    const auto startedAt = std::chrono::steady_clock::now();
    co_await delay(run->options.clientMilliseconds);
    const HttpOutcome outcome = co_await run->caller.client().call(std::move(entry), std::move(request));
    co_await delay(run->options.clientMilliseconds);
    const std::chrono::duration<double, std::milli> elapsed = std::chrono::steady_clock::now() - startedAt;
    count(*run, outcome, marker, elapsed.count());
    --run->pending;
}

} // namespace

std::uint64_t LoadSummary::total() const
{
    return answered + notRun + unknown + refused + cut + wrong;
}

double LoadSummary::quantile(double share) const
{
    if (answeredMilliseconds.empty()) {
        return 0;
    }
    std::vector<double> sorted = answeredMilliseconds;
    const auto index = static_cast<std::ptrdiff_t>(share * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + index, sorted.end());
    return sorted[static_cast<std::size_t>(index)];
}

double LoadSummary::answeredPerSecond() const
{
    return seconds > 0 ? static_cast<double>(answered) / seconds : 0;
}

LoadSummary Load::run(HttpCaller &caller, const std::vector<HttpEndpoint> &entries, const Options &options)
{
    static std::atomic<std::uint64_t> nextRun{1};
    auto run = std::make_shared<LoadRun>(caller, options, nextRun.fetch_add(1));
    std::mt19937_64 random(options.seed);
    std::exponential_distribution<double> gap(options.requestsPerSecond);
    const auto startedAt = std::chrono::steady_clock::now();
    auto next = startedAt;
    std::uint64_t number = 0;
    while (next - startedAt < options.duration) {
        std::this_thread::sleep_until(next);
        ++run->pending;
        asio::co_spawn(caller.executor(), sendOne(run, entries[number % entries.size()], number), asio::detached);
        ++number;
        next += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
    }
    while (run->pending > 0) {
        std::this_thread::sleep_for(Milliseconds(5));
    }
    run->summary.seconds = std::chrono::duration<double>(options.duration).count();
    const std::lock_guard lock(run->mutex);
    return run->summary;
}

} // namespace Carobflow::Bench
