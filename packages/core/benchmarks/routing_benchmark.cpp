#include "carobflow/core/routing.h"

#include <string>

#include <benchmark/benchmark.h>

using namespace Carobflow;

namespace
{

const TimePoint Start{std::chrono::hours(1)};

Announcement announcementOf(int host, std::uint64_t sequence)
{
    return {.host = "host-" + std::to_string(host),
            .dataCentre = "dc" + std::to_string(host % 3),
            .agentAddress = "10.0.0.1:" + std::to_string(10000 + host),
            .bootId = 1,
            .sequence = sequence,
            .services = {{.name = "desk", .slots = 8, .connections = 64, .leaving = false}}};
}

Routing &routingWith(int upstreams)
{
    static std::unique_ptr<Routing> routing;
    routing = std::make_unique<Routing>(Routing::Options{.dataCentre = "dc0"});
    for (int host = 0; host < upstreams; ++host) {
        routing->onAnnouncement(Start, announcementOf(host, 1));
    }
    return *routing;
}

/// Chooses an upstream and settles the attempt, in one or several threads.
void chooseAndSettle(benchmark::State &state)
{
    static Routing *routing = nullptr;
    if (state.thread_index() == 0) {
        routing = &routingWith(static_cast<int>(state.range(0)));
    }
    for (auto iteration : state) {
        const auto upstream = routing->choose(Start, "desk");
        routing->settle(Start, *upstream, AttemptResult::Answered, Milliseconds(10), 1);
    }
}

/// An announcement without changes, which is the usual case.
void repeatAnnouncement(benchmark::State &state)
{
    Routing &routing = routingWith(static_cast<int>(state.range(0)));
    const auto announcement = announcementOf(0, 1);
    std::uint64_t sequence = 1;
    for (auto iteration : state) {
        auto next = announcement;
        next.sequence = ++sequence;
        routing.onAnnouncement(Start, next);
    }
}

/// An announcement that changes the snapshot.
void changeAnnouncement(benchmark::State &state)
{
    Routing &routing = routingWith(static_cast<int>(state.range(0)));
    std::uint64_t sequence = 1;
    for (auto iteration : state) {
        auto next = announcementOf(0, ++sequence);
        next.services[0].leaving = sequence % 2 == 0;
        routing.onAnnouncement(Start, next);
    }
}

} // namespace

BENCHMARK(chooseAndSettle)->Arg(11)->Arg(100)->Arg(1000)->Arg(2900);
BENCHMARK(chooseAndSettle)->Arg(11)->Arg(2900)->Threads(4)->UseRealTime();
BENCHMARK(repeatAnnouncement)->Arg(11)->Arg(2900);
BENCHMARK(changeAnnouncement)->Arg(11)->Arg(2900);

BENCHMARK_MAIN();
