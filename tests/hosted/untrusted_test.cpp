#include "hostedsystem.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <latch>
#include <span>
#include <thread>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace Carobflow::Bench
{

namespace
{

constexpr std::size_t Crowd = 8;
constexpr std::size_t FloodBytes = 12'000'000;
/// Idle connections that are opened at once; the limit in TestLimits and MaxDescriptors are below.
constexpr std::size_t IdleCrowd = 400;
constexpr std::size_t MaxDescriptors = 200;
constexpr std::uint64_t MaxMemoryMiB = 64;
constexpr Milliseconds FloodLimit{10000};

/// Connections that send whole requests at the same moment, and how often they do so.
constexpr std::size_t WaveCrowd = 250;
constexpr std::size_t Waves = 10;

/// Limits that a small crowd reaches.
constexpr std::string_view TestLimits = "connections = 64\nstatus_connections = 32\nheader_bytes = 32768\n"
                                        "reading_bytes = 16777216\nheader_ms = 2000\nrequest_ms = 4000\n"
                                        "idle_ms = 4000\nwrite_ms = 2000\n";

/// Limits that admit the connections of a wave.
constexpr std::string_view WaveLimits = "connections = 300\nstatus_connections = 32\nheader_bytes = 32768\n"
                                        "reading_bytes = 16777216\nheader_ms = 2000\nrequest_ms = 4000\n"
                                        "idle_ms = 4000\nwrite_ms = 2000\n";

/// Code before the section [limits] does not start with it: CAROBFLOW_WITHOUT_LIMITS runs these tests on such code.
HostedSystem::Options systemOptions()
{
    const bool without = std::getenv("CAROBFLOW_WITHOUT_LIMITS") != nullptr;
    return {.agents = 1, .limits = without ? std::string() : std::string(TestLimits)};
}

/// A connection that sends and receives bytes as they are. Calls give up after two seconds.
class RawConnection
{
public:
    explicit RawConnection(std::uint16_t port)
        : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const timeval limit{.tv_sec = 2, .tv_usec = 0};
        setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): the interface of sockets
        m_open = connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    }

    ~RawConnection()
    {
        close(m_socket);
    }

    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    /// False when the peer has closed the connection or reads nothing.
    bool send(std::string_view bytes)
    {
        while (m_open && !bytes.empty()) {
            const ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            m_open = sent > 0;
            bytes.remove_prefix(m_open ? static_cast<std::size_t>(sent) : 0);
        }
        return m_open;
    }

    /// What arrives until a text is contained, the peer closes the connection, or nothing comes for two seconds.
    std::string receiveUntil(std::string_view text)
    {
        std::string received;
        std::array<char, 4096> part{};
        while (received.find(text) == std::string::npos) {
            const ssize_t count = recv(m_socket, part.data(), part.size(), 0);
            if (count <= 0) {
                break;
            }
            received.append(part.data(), static_cast<std::size_t>(count));
        }
        return received;
    }

private:
    int m_socket;
    bool m_open = false;
};

/// A request that is sent by every connection of the crowd: an opening, then a piece again and again.
struct Flood {
    std::string_view name;
    std::string opening;
    std::string piece;
    std::size_t bytes = FloodBytes;
    Milliseconds pause{0};
};

std::string repeated(std::string_view text, std::size_t times)
{
    std::string result;
    result.reserve(text.size() * times);
    for (std::size_t index = 0; index < times; ++index) {
        result += text;
    }
    return result;
}

std::string jobId(unsigned number)
{
    std::string digits = std::to_string(number);
    return std::string(16 - digits.size(), 'c') + digits;
}

std::string head(std::string_view rest, std::string_view method = "POST", unsigned job = 1)
{
    return std::string(method) + " /desk/" + jobId(job) + " HTTP/1.1\r\nHost: desk.example\r\n" + std::string(rest);
}

std::string withLength(std::string_view body, unsigned job = 1)
{
    return head("Content-Length: " + std::to_string(body.size()) + "\r\n\r\n", "POST", job) + std::string(body);
}

const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";

/// Sends a flood over the crowd's connections, which stay open until `whileOpen` returns.
void attack(
    std::uint16_t port, const Flood &flood, const std::function<void()> &whileOpen = [] {})
{
    const auto until = std::chrono::steady_clock::now() + FloodLimit;
    std::vector<std::unique_ptr<RawConnection>> connections;
    std::vector<std::jthread> threads;
    const std::string batch = flood.pause.count() > 0
        ? flood.piece
        : repeated(flood.piece, std::max<std::size_t>(1, 65536 / flood.piece.size()));
    for (std::size_t index = 0; index < Crowd; ++index) {
        connections.push_back(std::make_unique<RawConnection>(port));
        threads.emplace_back([&, connection = connections.back().get()] {
            connection->send(flood.opening);
            for (std::size_t sent = 0; sent < flood.bytes && std::chrono::steady_clock::now() < until;
                 sent += batch.size()) {
                if (!connection->send(batch)) {
                    return;
                }
                std::this_thread::sleep_for(flood.pause);
            }
        });
    }
    threads.clear();
    whileOpen();
}

/// Sends a whole request over each connection of a crowd, again and again. Its last bytes go out when all others have
/// arrived, so that the peer holds all requests at the same moment.
void attackInWaves(std::uint16_t port, std::string_view request)
{
    constexpr std::size_t lastBytes = 2;
    for (std::size_t wave = 0; wave < Waves; ++wave) {
        std::latch sent(WaveCrowd);
        std::vector<std::jthread> threads;
        for (std::size_t index = 0; index < WaveCrowd; ++index) {
            threads.emplace_back([&] {
                RawConnection connection(port);
                connection.send(request.substr(0, request.size() - lastBytes));
                sent.arrive_and_wait();
                connection.send(request.substr(request.size() - lastBytes));
                connection.receiveUntil("\r\n\r\n");
            });
        }
    }
}

std::uint64_t memoryMiB(int pid, std::string_view field)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field)) {
            return std::strtoull(line.c_str() + field.size() + 1, nullptr, 10) / 1024;
        }
    }
    return 0;
}

std::size_t descriptors(int pid)
{
    std::error_code ignored;
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(pid) + "/fd", ignored);
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

/// Checks that the processes bore what was sent to them, and that an ordinary job is still accepted.
class Survival
{
public:
    explicit Survival(HostedSystem &system)
        : m_system(system)
        , m_entryPid(system.entry(0).pid())
        , m_agentPid(system.agent(0).pid())
    {
    }

    void check()
    {
        CHECK(m_system.entry(0).isRunning());
        CHECK(m_system.agent(0).isRunning());
        checkProcess("entry", m_entryPid);
        checkProcess("agent", m_agentPid);
        waitUntil("an ordinary job is accepted", [&] { return m_system.submit(jobId(9), 1, Milliseconds(50)) == 200; });
        CHECK(m_system.waitForState(jobId(9), "completed", Milliseconds(15000)));
        // Guards against requests that are read only after the first measurement.
        checkProcess("entry afterwards", m_entryPid);
        checkProcess("agent afterwards", m_agentPid);
    }

    static void checkProcess(std::string_view name, int pid)
    {
        CAPTURE(name);
        CHECK(memoryMiB(pid, "VmHWM") < MaxMemoryMiB);
        CHECK(memoryMiB(pid, "VmRSS") < MaxMemoryMiB);
        CHECK(descriptors(pid) < MaxDescriptors);
    }

private:
    HostedSystem &m_system;
    int m_entryPid;
    int m_agentPid;
};

void checkFlood(const Flood &flood)
{
    HostedSystem system(systemOptions());
    system.waitUntilReady();
    Survival survival(system);
    attack(system.entryPorts(0).http, flood);
    survival.check();
}

void checkFloods(std::span<const Flood> floods)
{
    for (const Flood &flood : floods) {
        DYNAMIC_SECTION(flood.name)
        {
            checkFlood(flood);
        }
    }
}

/// As many fields as header_bytes lets through.
const std::string ManyFields = repeated("a:\r\n", 8000);

void checkWaves(const std::string &request)
{
    HostedSystem system({.agents = 1, .limits = std::string(WaveLimits)});
    system.waitUntilReady();
    Survival survival(system);
    attackInWaves(system.entryPorts(0).http, request);
    survival.check();
}

/// A job with the longest `task-spec`, which the stand-in of a worker reads as a number of milliseconds.
std::string jobOfSteps(std::size_t steps, std::size_t tasks)
{
    const std::string step = R"({"count":)" + std::to_string(tasks)
        + R"(,"cpu":500,"memory-limit-mb":100,"estimated-ms":1})";
    return R"({"task-spec":")" + std::string(3999, '0') + "1" + R"(","steps":[)" + step
        + repeated("," + step, steps - 1) + "]}";
}

} // namespace

// Guards against a parser that buffers what a request sends outside its body without a bound.
TEST_CASE("Framing without end does not use up the memory of an entry", "[hosted][untrusted]")
{
    const std::string line = "X-Field: " + std::string(64, 'v') + "\r\n";
    checkFloods(std::array{
        Flood{.name = "trailers", .opening = head(Chunked) + "0\r\n", .piece = line},
        Flood{.name = "one trailer", .opening = head(Chunked) + "0\r\nX-Field: ", .piece = "v"},
        Flood{.name = "one chunk extension", .opening = head(Chunked) + "1;e=", .piece = "v"},
        Flood{.name = "many chunk extensions",
              .opening = head(Chunked),
              .piece = "1;e=" + std::string(4000, 'v') + "\r\nx\r\n"},
        Flood{.name = "a chunk-size line", .opening = head(Chunked), .piece = "0"},
        Flood{.name = "headers", .opening = head(""), .piece = line},
        Flood{.name = "one header", .opening = head("X-Field: "), .piece = "v"},
        Flood{.name = "many short headers", .opening = head(repeated("a:\r\n", 1900)) + "\r\n", .piece = "b"},
        Flood{.name = "a request line", .opening = "GET /", .piece = "a"}});
}

// Guards against memory that fields take when they are parsed, which a limit on bytes does not count.
TEST_CASE("Waves of whole requests with many trailers do not use up the memory of an entry", "[hosted][untrusted]")
{
    checkWaves(head(Chunked) + "0\r\n" + ManyFields + "\r\n");
}

// Guards against the same for fields before a body.
TEST_CASE("Waves of whole requests with many header fields do not use up the memory of an entry", "[hosted][untrusted]")
{
    checkWaves(GENERATE(head(ManyFields + "\r\n"), head(ManyFields + "Content-Length: 2\r\n\r\n") + "{}"));
}

// Guards against bodies that are kept without a bound, and against errors in what states their length.
TEST_CASE("Bodies and their lengths do not bring down an entry", "[hosted][untrusted]")
{
    const std::string chunk = "1000\r\n" + std::string(4096, 'b') + "\r\n";
    const auto lengths = [](std::string_view fields) { return head(std::string(fields) + "\r\n"); };
    checkFloods(std::array{
        Flood{.name = "a chunked body without end", .opening = head(Chunked), .piece = chunk},
        Flood{.name = "a body a byte at a time",
              .opening = lengths("Content-Length: 1000000\r\n"),
              .piece = "b",
              .bytes = 100,
              .pause = Milliseconds(20)},
        Flood{.name = "length beside chunked",
              .opening = lengths("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"),
              .piece = chunk},
        Flood{.name = "two lengths", .opening = lengths("Content-Length: 5\r\nContent-Length: 6\r\n"), .piece = "b"},
        Flood{.name = "a negative length", .opening = lengths("Content-Length: -1\r\n"), .piece = "b"},
        Flood{.name = "a length past 64 bits",
              .opening = lengths("Content-Length: 18446744073709551617\r\n"),
              .piece = "b"}});
}

// Guards against answers that pile up for a client that does not read them.
TEST_CASE("Clients that do not read answers do not use up the memory of an entry", "[hosted][untrusted]")
{
    checkFloods(
        std::array{Flood{.name = "pipelined requests", .opening = {}, .piece = head("\r\n", "GET"), .bytes = 500'000},
                   Flood{.name = "unknown ids",
                         .opening = {},
                         .piece = "GET /nowhere/1 HTTP/1.1\r\nHost: x\r\n\r\n",
                         .bytes = 300'000},
                   Flood{.name = "pipelined bodies",
                         .opening = {},
                         .piece = withLength(std::string(200'000, ' ')),
                         .bytes = 4'000'000}});
}

// Guards against decoders that recurse or allocate far more than the text that they read.
TEST_CASE("JSON bodies do not bring down an entry", "[hosted][untrusted]")
{
    const auto once = [](std::string_view name, const std::string &body) {
        return Flood{.name = name, .opening = withLength(body), .piece = "\r\n", .bytes = 0};
    };
    checkFloods(std::array{
        once("nested arrays", R"({"steps":)" + std::string(100'000, '[')),
        once("nested objects", repeated(R"({"a":)", 100'000)),
        once("many short fields", "{" + repeated(R"("a":0,)", 140'000) + R"("b":0})"),
        once("many empty steps", R"({"steps":[{})" + repeated(",{}", 330'000) + "]}"),
        once("numbers and texts at the edges",
             R"({"task-spec":"\u0000\ud800","start-at-ms":9223372036854775807,"interval-ms":-9223372036854775808,)"
             R"("repetitions":4294967295,"steps":[{"count":4294967295,"cpu":9223372036854775807,)"
             R"("memory-limit-mb":-1,"estimated-ms":1e308}]})"),
        once("the most tasks with the longest times",
             R"({"task-spec":"1","steps":[{"count":1000,"cpu":500,"memory-limit-mb":100,)"
             R"("estimated-ms":9223372036854775807}]})")});
}

// Guards against state that every job, or every id that is asked for, leaves behind in the processes.
TEST_CASE("Many jobs and many ids do not use up memory", "[hosted][untrusted]")
{
    HostedSystem system(systemOptions());
    system.waitUntilReady();
    Survival survival(system);
    const auto send = [&](unsigned count, const std::function<std::string(unsigned)> &request) {
        RawConnection connection(system.entryPorts(0).http);
        for (unsigned number = 0; number < count; ++number) {
            if (!connection.send(request(number))) {
                return;
            }
            connection.receiveUntil("\r\n\r\n");
        }
    };
    SECTION("jobs of the most tasks")
    {
        send(40, [](unsigned number) { return withLength(jobOfSteps(1, 1000), 1000 + number); });
        send(40, [](unsigned number) { return head("\r\n", "DELETE", 1000 + number); });
    }
    SECTION("jobs of the most steps")
    {
        send(40, [](unsigned number) { return withLength(jobOfSteps(1000, 1), 1000 + number); });
        send(40, [](unsigned number) { return head("\r\n", "DELETE", 1000 + number); });
    }
    SECTION("ids that do not exist")
    {
        send(4000, [](unsigned number) { return head("\r\n", "GET", 10000 + number); });
    }
    SECTION("a deadline past the range of time")
    {
        send(1, [](unsigned) { return head("Carobflow-Deadline-Remaining: 9223372036854775807\r\n\r\n", "GET"); });
    }
    survival.check();
}

// Guards against ports with weaker limits than the one that clients are told of.
TEST_CASE("Every HTTP port bears trailers without end and idle connections", "[hosted][untrusted]")
{
    struct Target {
        std::string_view name;
        bool isEntry;
        std::uint16_t HostedSystem::Ports::*port;
    };
    for (const Target &target : {Target{"clients", true, &HostedSystem::Ports::http},
                                 Target{"readiness", true, &HostedSystem::Ports::ready},
                                 Target{"metrics", true, &HostedSystem::Ports::metrics},
                                 Target{"check-ins", false, &HostedSystem::Ports::http},
                                 Target{"metrics of an agent", false, &HostedSystem::Ports::metrics}}) {
        DYNAMIC_SECTION(target.name)
        {
            HostedSystem system(systemOptions());
            system.waitUntilReady();
            Survival survival(system);
            const auto &ports = target.isEntry ? system.entryPorts(0) : system.agentPorts(0);
            const std::uint16_t port = ports.*target.port;
            SECTION("trailers")
            {
                attack(port,
                       {.name = "trailers",
                        .opening = head(Chunked) + "0\r\n",
                        .piece = "X-Field: " + std::string(64, 'v') + "\r\n"});
            }
            SECTION("idle connections")
            {
                std::vector<std::unique_ptr<RawConnection>> idle;
                for (std::size_t index = 0; index < IdleCrowd; ++index) {
                    idle.push_back(std::make_unique<RawConnection>(port));
                }
                std::this_thread::sleep_for(Milliseconds(200));
                const int pid = target.isEntry ? system.entry(0).pid() : system.agent(0).pid();
                Survival::checkProcess(target.name, pid);
                survival.check();
            }
            SECTION("connections that stop in the middle of a request")
            {
                std::vector<std::unique_ptr<RawConnection>> stopped;
                for (std::size_t index = 0; index < IdleCrowd; ++index) {
                    stopped.push_back(std::make_unique<RawConnection>(port));
                    stopped.back()->send(head("X-Field: "));
                }
                std::this_thread::sleep_for(Milliseconds(200));
                survival.check();
            }
            survival.check();
        }
    }
}

} // namespace Carobflow::Bench
