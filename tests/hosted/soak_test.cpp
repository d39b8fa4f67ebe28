#include "hostedsystem.h"

#include "randomised.h"

#include <atomic>
#include <csignal>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/json/object.hpp>
#include <catch2/catch.hpp>

namespace Carobflow::Bench
{

namespace json = boost::json;

namespace
{

constexpr std::size_t Entries = 2;
constexpr std::size_t Agents = 3;
constexpr std::size_t Clients = 4;
constexpr Milliseconds DisturbedTime{12000};
/// The platform's bound from the answer to a cancellation to the last start of a task.
constexpr std::int64_t CancelMilliseconds = 3000;

/// What a client knows of a job.
struct Order {
    bool accepted = false;
    /// A cancellation was sent; without an answer it may have been carried out or not.
    bool mayBeCancelled = false;
    /// When a cancellation was first confirmed.
    std::optional<std::int64_t> cancelledAt;
};

/// The orders of all clients.
class OrderBook
{
public:
    void noteSubmission(const std::string &id, unsigned status)
    {
        const std::lock_guard lock(m_mutex);
        Order &order = m_orders[id];
        order.accepted = order.accepted || status == 200;
    }

    void noteCancellation(const std::string &id, unsigned status)
    {
        const std::lock_guard lock(m_mutex);
        Order &order = m_orders[id];
        order.mayBeCancelled = true;
        if ((status == 200 || status == 410) && !order.cancelledAt) {
            order.cancelledAt = StandIn::clockMilliseconds();
        }
    }

    [[nodiscard]] std::map<std::string, Order> orders() const
    {
        const std::lock_guard lock(m_mutex);
        return m_orders;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, Order> m_orders;
};

/// Submits, cancels and repeats jobs, in any order and at any entry, on connections that stay open.
class RandomClient
{
public:
    RandomClient(HostedSystem &system, OrderBook &book, std::uint64_t seed, std::size_t number)
        : m_system(system)
        , m_book(book)
        , m_random(seed * Clients + number)
        , m_number(number)
    {
    }

    void run(const std::atomic<bool> &ends)
    {
        while (!ends) {
            const std::string id = nextId();
            const bool cancelsFirst = m_random.chance(15);
            if (cancelsFirst) {
                cancel(id);
            }
            submit(id);
            if (!cancelsFirst && m_random.chance(40)) {
                cancel(id);
            }
            if (m_random.chance(30)) {
                // A request that is repeated, maybe after the cancellation.
                m_repeated.push_back(id);
            }
            if (!m_repeated.empty() && m_random.chance(30)) {
                submit(m_repeated.front());
                m_repeated.erase(m_repeated.begin());
            }
            std::this_thread::sleep_for(Milliseconds(m_random.between(5, 120)));
        }
    }

private:
    std::string nextId()
    {
        const std::string digits = std::to_string(m_number) + "f" + std::to_string(m_count++);
        return std::string(16 - digits.size(), 'a') + digits;
    }

    std::size_t anyEntry()
    {
        return static_cast<std::size_t>(m_random.between(0, Entries - 1));
    }

    void submit(const std::string &id)
    {
        const Milliseconds work(m_random.between(50, 1200));
        const auto tasks = static_cast<std::size_t>(m_random.between(1, 2));
        m_book.noteSubmission(id, m_system.submit(id, tasks, work, anyEntry()));
    }

    void cancel(const std::string &id)
    {
        m_book.noteCancellation(id, m_system.cancel(id, anyEntry()));
    }

    HostedSystem &m_system;
    OrderBook &m_book;
    Testing::Random m_random;
    std::size_t m_number;
    std::size_t m_count = 0;
    std::vector<std::string> m_repeated;
};

/// Disturbs the system. Disturbances overlap, and all of them are over when run() returns.
class RandomDisturbances
{
public:
    RandomDisturbances(HostedSystem &system, std::uint64_t seed)
        : m_system(system)
        , m_random(seed)
    {
    }

    void run()
    {
        const auto until = std::chrono::steady_clock::now() + DisturbedTime;
        while (std::chrono::steady_clock::now() < until) {
            disturb();
            std::this_thread::sleep_for(Milliseconds(m_random.between(100, 900)));
            undo(std::chrono::steady_clock::now());
        }
        undo(std::chrono::steady_clock::now() + Seconds(60));
    }

private:
    void disturb()
    {
        const auto agent = static_cast<std::size_t>(m_random.between(0, Agents - 1));
        const auto entry = static_cast<std::size_t>(m_random.between(0, Entries - 1));
        switch (m_random.between(0, 8)) {
        case 0:
            m_system.entry(entry).signal(SIGSTOP);
            later(500, 4000, [this, entry] { m_system.entry(entry).signal(SIGCONT); });
            break;
        case 1:
            m_system.agent(agent).signal(SIGSTOP);
            later(100, 800, [this, agent] { m_system.agent(agent).signal(SIGCONT); });
            break;
        case 2:
            m_system.agent(agent).signal(SIGKILL);
            m_system.startAgent(agent);
            break;
        case 3:
            m_system.entry(entry).signal(SIGKILL);
            m_system.startEntry(entry);
            break;
        case 4:
            m_system.onStandIns([&] { m_system.store().refusing = true; });
            later(200, 1500, [this] { m_system.onStandIns([this] { m_system.store().refusing = false; }); });
            break;
        case 5:
            m_system.onStandIns([&] {
                m_system.store().lateWrites = 2;
                m_system.store().lateBy = Milliseconds(m_random.between(700, 4000));
            });
            break;
        case 6:
            m_system.onStandIns([&] { m_system.store().lostReplies = 2; });
            break;
        case 7:
            m_system.configure(false);
            later(300, 1500, [this] { m_system.configure(true); });
            break;
        default:
            checkInAsAnother(agent);
        }
    }

    /// Check-ins of another program, some of them under the worker's own id.
    void checkInAsAnother(std::size_t agent)
    {
        json::object report;
        m_system.onStandIns([&] { report = m_system.worker(agent).report(); });
        for (int count = 0; count < 5; ++count) {
            json::object foreign = report;
            const bool hasOwnId = m_random.chance(50);
            if (m_random.chance(50)) {
                foreign["service"] = "print-server";
                foreign["sequence"] = 9'007'199'254'740'991;
            }
            if (!hasOwnId || m_random.chance(50)) {
                foreign["born"] = report.at("born").as_int64() + m_random.between(-5000, 5000);
            } else {
                foreign.erase(m_random.chance(50) ? "slots" : "labels");
                foreign["state"] = "draining";
            }
            const std::string id = hasOwnId ? "i-" + std::to_string(agent) : "p-" + std::to_string(count);
            static_cast<void>(m_system.checkIn(agent, id, foreign));
        }
    }

    void later(std::int64_t shortest, std::int64_t longest, std::function<void()> action)
    {
        const auto time = std::chrono::steady_clock::now() + Milliseconds(m_random.between(shortest, longest));
        m_pending.emplace(time, std::move(action));
    }

    void undo(TimePoint now)
    {
        while (!m_pending.empty() && m_pending.begin()->first <= now) {
            m_pending.begin()->second();
            m_pending.erase(m_pending.begin());
        }
    }

    HostedSystem &m_system;
    Testing::Random m_random;
    std::multimap<TimePoint, std::function<void()>> m_pending;
};

/// Starts of tasks whose job had been cancelled for longer than the platform allows.
std::vector<std::string> lateStarts(HostedSystem &system, const std::map<std::string, Order> &orders)
{
    std::vector<std::string> faults;
    for (const StandIn::ObservedRun &run : system.runs()) {
        const auto order = orders.find(run.task.substr(0, run.task.find('.')));
        const bool isLate = order != orders.end() && order->second.cancelledAt
            && run.startedAt > *order->second.cancelledAt + CancelMilliseconds;
        if (isLate) {
            faults.push_back(run.task + " starts " + std::to_string(run.startedAt - *order->second.cancelledAt)
                             + " ms after the confirmed cancellation");
        }
    }
    return faults;
}

} // namespace

TEST_CASE("Cancelled jobs stay away and accepted ones complete while everything is disturbed", "[hosted][soak]")
{
    // Guards against UNASKED, TWICE and LOST where several disturbances meet: a submission that arrives after the
    // cancellation, check-ins of another program, and a service that is removed for a while.
    Testing::forEachSeed(1, [](std::uint64_t seed) {
        HostedSystem system({.entries = Entries, .agents = Agents});
        system.waitUntilReady();
        OrderBook book;
        std::atomic<bool> ends{false};
        std::vector<std::future<void>> clients;
        for (std::size_t number = 0; number < Clients; ++number) {
            clients.push_back(std::async(std::launch::async, [&system, &book, &ends, seed, number] {
                RandomClient(system, book, seed, number).run(ends);
            }));
        }
        RandomDisturbances(system, seed).run();
        ends = true;
        for (const std::future<void> &client : clients) {
            client.wait();
        }
        system.waitUntilReady();
        const std::map<std::string, Order> orders = book.orders();
        for (const auto &[id, order] : orders) {
            CAPTURE(id);
            if (order.accepted && !order.mayBeCancelled) {
                CHECK(system.waitForState(id, "completed", Milliseconds(20000)));
            }
        }
        std::this_thread::sleep_for(Milliseconds(1500));
        for (const auto &[id, order] : orders) {
            const std::string state = system.state(id);
            CAPTURE(id, state);
            // A cancelled job that never arrived does not exist.
            CHECK((!order.accepted || state == "completed" || (order.mayBeCancelled && state == "cancelled")));
            CHECK((!order.cancelledAt || state == "cancelled" || state == "completed" || state == "410"));
        }
        const std::vector<std::string> late = lateStarts(system, orders);
        CAPTURE(late);
        CHECK(late.empty());
        const std::vector<std::string> violations = system.violations();
        CAPTURE(violations);
        CHECK(violations.empty());
    });
}

} // namespace Carobflow::Bench
