#include "carobflow/core/admission.h"
#include "seedrange.h"

#include <cmath>
#include <map>
#include <random>
#include <set>

#include <catch2/catch.hpp>

using namespace Carobflow;
using namespace std::chrono_literals;

namespace
{

using Verdict = Admission::Verdict;
using Order = Admission::Order;

const TimePoint Start{1h};

struct Overload {
    double load = 1;
    Order order = Order::NewestFirst;
    bool adaptive = true;
    std::uint64_t seed = 1;
    std::uint32_t queueLimit = 16;
    /// Range of the time from arrival to deadline in milliseconds.
    double minDeadline = 150;
    double maxDeadline = 300;
};

/// Simulates an upstream with 8 slots, long-tailed service times of 50 ms on average and Poisson arrivals. Returns the
/// share of the capacity spent on requests that were answered in time.
double usefulShare(const Overload &overload)
{
    constexpr std::uint32_t slots = 8;
    constexpr double meanMilliseconds = 50;
    constexpr auto length = 60s;
    struct Request {
        Duration work{};
        TimePoint deadline;
    };
    enum class Kind { Arrive, Finish };
    std::mt19937_64 engine(overload.seed);
    std::exponential_distribution<double> gap(overload.load * slots / meanMilliseconds);
    std::lognormal_distribution<double> work(std::log(meanMilliseconds) - 0.32, 0.8);
    std::uniform_real_distribution<double> timeLimit(overload.minDeadline, overload.maxDeadline);
    const auto milliseconds = [](double value) {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
    };

    Admission admission({.slots = slots,
                         .queueLimit = overload.queueLimit,
                         .overloadOrder = overload.order,
                         .adaptivePolicy = overload.adaptive});
    std::map<Admission::RequestId, Request> requests;
    std::multimap<TimePoint, std::pair<Kind, Admission::RequestId>> events{{Start, {Kind::Arrive, 1}}};
    Duration useful{};
    const auto start = [&](TimePoint now, Admission::RequestId id) {
        events.insert({now + requests[id].work, {Kind::Finish, id}});
    };
    const auto apply = [&](TimePoint now, const Admission::Changes &changes) {
        for (const auto id : changes.run) {
            start(now, id);
        }
        for (const auto id : changes.refused) {
            requests.erase(id);
        }
    };
    while (!events.empty()) {
        const auto now = events.begin()->first;
        const auto [kind, id] = events.begin()->second;
        events.erase(events.begin());
        if (now > Start + length) {
            break;
        }
        if (kind == Kind::Finish) {
            const Request request = requests[id];
            useful += now <= request.deadline ? request.work : Duration{};
            requests.erase(id);
            apply(now, admission.finish(now, id, request.work));
            continue;
        }
        events.insert({now + milliseconds(gap(engine)), {Kind::Arrive, id + 1}});
        requests[id] = {.work = milliseconds(work(engine)), .deadline = now + milliseconds(timeLimit(engine))};
        const auto verdict = admission.request(now, id, requests[id].deadline).verdict;
        if (verdict == Verdict::Run) {
            start(now, id);
        } else if (verdict == Verdict::Refused) {
            requests.erase(id);
        }
        apply(now, admission.expire(now));
    }
    return std::chrono::duration<double>(useful) / std::chrono::duration<double>(length * slots);
}

} // namespace

TEST_CASE("An upstream with free slots runs requests at once", "[admission]")
{
    Admission admission({.slots = 2, .queueLimit = 2});
    REQUIRE(admission.request(Start, 1, Start + 1s).verdict == Verdict::Run);
    REQUIRE(admission.request(Start, 2, Start + 1s).verdict == Verdict::Run);
    REQUIRE(admission.taken() == 2);

    SECTION("further requests wait for a slot")
    {
        REQUIRE(admission.request(Start, 3, Start + 1s).verdict == Verdict::Queued);
        REQUIRE(admission.request(Start, 4, Start + 1s).verdict == Verdict::Queued);

        SECTION("a full queue refuses")
        {
            const auto decision = admission.request(Start, 5, Start + 1s);
            CHECK(decision.verdict == Verdict::Refused);
            CHECK(decision.reason == "the queue is full");
            CHECK(decision.retryAfter > 0ms);
        }
        SECTION("a finished request frees its slot for the oldest queued one")
        {
            CHECK(admission.finish(Start + 10ms, 1, 10ms).run == std::vector<Admission::RequestId>{3});
            CHECK(admission.taken() == 2);
        }
        SECTION("an abandoned request keeps its slot until the hold time has passed")
        {
            admission.abandon(Start, 1);
            CHECK(admission.request(Start + 1ms, 5, Start + 20s).verdict == Verdict::Refused);
            CHECK(admission.expire(Start + 500ms).run.empty());
            CHECK(admission.expire(Start + 9999ms).run.empty());
            CHECK(admission.taken() == 2);
            admission.expire(Start + 10s);
            CHECK(admission.taken() == 1);
            CHECK(admission.finish(Start + 11s, 1, 11s).run.empty());
        }
        SECTION("an abandoned request that finishes frees its slot at once")
        {
            admission.abandon(Start, 1);
            CHECK(admission.finish(Start + 10ms, 1, 10ms).run == std::vector<Admission::RequestId>{3});
        }
        SECTION("a cancelled request never runs")
        {
            admission.cancelQueued(3);
            CHECK(admission.finish(Start + 10ms, 1, 10ms).run == std::vector<Admission::RequestId>{4});
        }
        SECTION("queued requests are refused when their deadline has passed")
        {
            const auto changes = admission.expire(Start + 1s);
            CHECK(changes.run.empty());
            CHECK(changes.refused.size() == 2);
            CHECK(admission.queued() == 0);
        }
        SECTION("a closing upstream refuses queued and new requests")
        {
            CHECK(admission.close().refused.size() == 2);
            CHECK(admission.finish(Start, 1, 1ms).run.empty());
            CHECK(admission.request(Start, 6, Start + 1s).verdict == Verdict::Refused);
        }
        SECTION("new slots go to queued requests")
        {
            admission.setSlots(3);
            CHECK(admission.expire(Start).run == std::vector<Admission::RequestId>{3});
        }
        SECTION("with fewer slots running requests continue and queued ones wait")
        {
            admission.setSlots(1);
            CHECK(admission.finish(Start, 1, 1ms).run.empty());
            CHECK(admission.finish(Start, 2, 1ms).run.size() == 1);
        }
    }
}

TEST_CASE("Requests are refused when their deadline cannot be met", "[admission]")
{
    Admission admission({.slots = 1});
    for (Admission::RequestId id = 1; id <= 20; ++id) {
        REQUIRE(admission.request(Start, id, Start + 10s).verdict == Verdict::Run);
        admission.finish(Start, id, id % 5 == 0 ? 8s : 100ms);
    }

    SECTION("a few requests that hung do not change the estimate")
    {
        CHECK(admission.expectedServiceTime() == 100ms);
    }
    SECTION("the wait for a slot is taken into account")
    {
        REQUIRE(admission.request(Start, 100, Start + 10s).verdict == Verdict::Run);
        CHECK(admission.request(Start, 101, Start + 150ms).verdict == Verdict::Refused);
        CHECK(admission.request(Start, 102, Start + 250ms).verdict == Verdict::Queued);
        CHECK(admission.request(Start, 103, Start + 250ms).verdict == Verdict::Refused);

        SECTION("and a queued request is refused once its deadline cannot be met")
        {
            CHECK(admission.expire(Start + 160ms).refused == std::vector<Admission::RequestId>{102});
        }
    }
    // Otherwise an estimate from a slow period would refuse all requests and never be corrected by a new sample.
    SECTION("an idle upstream runs a request regardless of the estimate")
    {
        CHECK(admission.request(Start, 100, Start + 50ms).verdict == Verdict::Run);
        CHECK(admission.request(Start, 101, Start).verdict == Verdict::Refused);
    }
    SECTION("old samples are discarded")
    {
        admission.expire(Start + 11s);
        CHECK(admission.expectedServiceTime() == 0ms);
    }
}

TEST_CASE("The newest request runs first under sustained overload", "[admission]")
{
    Admission admission({.slots = 1, .queueLimit = 2});
    REQUIRE(admission.request(Start, 1, Start + 10s).verdict == Verdict::Run);
    admission.finish(Start + 10ms, 1, 10ms);
    REQUIRE(admission.request(Start + 10ms, 2, Start + 10s).verdict == Verdict::Run);
    REQUIRE(admission.request(Start + 20ms, 3, Start + 10s).verdict == Verdict::Queued);
    REQUIRE(admission.request(Start + 30ms, 4, Start + 10s).verdict == Verdict::Queued);
    REQUIRE(admission.request(Start + 90ms, 5, Start + 10s).verdict == Verdict::Queued);

    // A displaced request that is never reported as refused would leave its caller without an answer.
    const auto changes = admission.finish(Start + 100ms, 2, 10ms);
    CHECK(changes.run == std::vector<Admission::RequestId>{5});
    CHECK(changes.refused == std::vector<Admission::RequestId>{3});
}

// Guards against congestion collapse, in which capacity is spent on requests whose callers no longer wait.
TEST_CASE("Useful work stays level at two and three times the capacity", "[admission]")
{
    forEachSeed(3, [](std::uint64_t seed) {
        INFO("seed " << seed);
        for (const double load : {2.0, 3.0}) {
            const double newest = usefulShare({.load = load, .seed = seed});
            const double oldest = usefulShare({.load = load, .order = Order::OldestFirst, .seed = seed});
            const double earliest = usefulShare({.load = load, .order = Order::EarliestDeadlineFirst, .seed = seed});
            const double baseline = usefulShare({.load = load, .adaptive = false, .seed = seed});
            CAPTURE(load, newest, oldest, earliest, baseline);
            CHECK(newest > 0.88);
            CHECK(newest > oldest + 0.1);
            CHECK(newest > earliest + 0.1);
            CHECK(newest > baseline + 0.1);
        }
    });
}

TEST_CASE("Useful work is printed for each queue order", "[.][measurement]")
{
    for (const double maxDeadline : {1000, 300}) {
        for (const std::uint32_t queueLimit : {16, 64}) {
            for (const double load : {0.9, 1.0, 2.0, 3.0}) {
                const auto mean = [&](Order order, bool adaptive) {
                    double sum = 0;
                    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
                        sum += usefulShare({.load = load,
                                            .order = order,
                                            .adaptive = adaptive,
                                            .seed = seed,
                                            .queueLimit = queueLimit,
                                            .maxDeadline = maxDeadline});
                    }
                    return sum / 10;
                };
                WARN("deadlines 150.." << maxDeadline << " ms, queue " << queueLimit << ", load " << load << ": newest "
                                       << mean(Order::NewestFirst, true) << ", oldest "
                                       << mean(Order::OldestFirst, true) << ", earliest deadline "
                                       << mean(Order::EarliestDeadlineFirst, true) << ", baseline "
                                       << mean(Order::OldestFirst, false));
            }
        }
    }
}

// Guards against slots that are assigned twice, and against callers that get no answer or a refusal for a request that
// ran.
TEST_CASE("Every request is answered once and slots are never exceeded", "[admission][random]")
{
    forEachSeed(200, [](std::uint64_t seed) {
        INFO("seed " << seed);
        std::mt19937_64 engine(seed);
        const auto below = [&engine](std::uint64_t limit) { return engine() % limit; };
        const auto slots = static_cast<std::uint32_t>(1 + below(4));
        const Milliseconds hold(1 + below(300));
        Admission admission({.slots = slots,
                             .queueLimit = static_cast<std::uint32_t>(below(6)),
                             .abandonedHold = hold,
                             .overloadOrder = static_cast<Order>(below(3)),
                             .adaptivePolicy = below(4) != 0});
        std::set<Admission::RequestId> queued;
        std::map<Admission::RequestId, TimePoint> running;
        std::map<Admission::RequestId, TimePoint> abandoned;
        std::set<Admission::RequestId> ran;
        std::set<Admission::RequestId> refused;
        auto now = Start;
        const auto onRun = [&](Admission::RequestId id) {
            REQUIRE(ran.insert(id).second);
            REQUIRE_FALSE(refused.contains(id));
            running[id] = now;
            REQUIRE(running.size() + abandoned.size() <= slots);
        };
        const auto onRefused = [&](Admission::RequestId id) {
            REQUIRE(refused.insert(id).second);
            REQUIRE_FALSE(ran.contains(id));
        };
        const auto apply = [&](const Admission::Changes &changes) {
            for (const auto id : changes.run) {
                REQUIRE(queued.erase(id) == 1);
                onRun(id);
            }
            for (const auto id : changes.refused) {
                REQUIRE(queued.erase(id) == 1);
                onRefused(id);
            }
        };
        const auto pick = [&](const auto &container) {
            return std::next(container.begin(), static_cast<std::ptrdiff_t>(below(container.size())));
        };
        Admission::RequestId next = 1;
        for (int step = 0; step < 600; ++step) {
            now += Milliseconds(below(8));
            switch (below(8)) {
            case 0:
            case 1:
            case 2: {
                const auto id = next++;
                const auto verdict = admission.request(now, id, now + Milliseconds(below(200))).verdict;
                if (verdict == Verdict::Run) {
                    onRun(id);
                } else if (verdict == Verdict::Refused) {
                    onRefused(id);
                } else {
                    queued.insert(id);
                }
                break;
            }
            case 3:
            case 4:
                if (!running.empty()) {
                    const auto [id, startedAt] = *pick(running);
                    running.erase(id);
                    apply(admission.finish(now, id, now - startedAt));
                }
                break;
            case 5:
                if (!running.empty()) {
                    const auto id = pick(running)->first;
                    running.erase(id);
                    abandoned[id] = now + hold;
                    admission.abandon(now, id);
                } else if (!abandoned.empty()) {
                    const auto id = pick(abandoned)->first;
                    abandoned.erase(id);
                    apply(admission.finish(now, id, 1ms));
                }
                break;
            case 6:
                if (!queued.empty()) {
                    const auto id = *pick(queued);
                    queued.erase(id);
                    admission.cancelQueued(id);
                }
                break;
            default:
                std::erase_if(abandoned, [&](const auto &entry) { return entry.second <= now; });
                apply(admission.expire(now));
                break;
            }
        }
        apply(admission.close());
        CHECK(queued.empty());
    });
}
