#include "carobflow/bench/childprocess.h"

#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <boost/process/args.hpp>
#include <boost/process/child.hpp>
#include <boost/process/exe.hpp>
#include <boost/process/extend.hpp>
#include <boost/process/io.hpp>
#include <sys/prctl.h>

namespace Carobflow::Bench
{

namespace bp = boost::process;

namespace
{

constexpr Milliseconds PollInterval{5};
constexpr std::size_t TailLength = 3000;

} // namespace

class ChildProcess::Private
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , child(
              bp::exe = options.program.string(),
              bp::args = options.arguments,
              (bp::std_out & bp::std_err) > options.output.string(),
              bp::std_in < bp::null,
              bp::extend::on_exec_setup = [](auto & /*executor*/) {
                  // A test that is killed at its time limit must not leave its processes behind.
                  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
              })
    {
    }

    Options options;
    bp::child child;
};

ChildProcess::ChildProcess(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{
}

ChildProcess::~ChildProcess()
{
    if (isRunning()) {
        signal(SIGCONT);
        signal(SIGKILL);
        std::error_code ignored;
        d->child.wait(ignored);
    }
}

std::string ChildProcess::waitForLine(std::string_view text, Milliseconds limit)
{
    const TimePoint deadline = std::chrono::steady_clock::now() + limit;
    for (;;) {
        const bool running = isRunning();
        std::istringstream lines(output());
        for (std::string line; std::getline(lines, line);) {
            // A last line without a line break may still be incomplete.
            if (!lines.eof() && line.find(text) != std::string::npos) {
                return line;
            }
        }
        if (!running || std::chrono::steady_clock::now() > deadline) {
            const std::string all = output();
            throw std::runtime_error(name() + (running ? " did not print '" : " ended without printing '")
                                     + std::string(text) + "':\n"
                                     + all.substr(all.size() - std::min(all.size(), TailLength)));
        }
        std::this_thread::sleep_for(PollInterval);
    }
}

void ChildProcess::signal(int number)
{
    if (isRunning()) {
        ::kill(pid(), number);
    }
}

std::optional<int> ChildProcess::waitForEnd(Milliseconds limit)
{
    const TimePoint deadline = std::chrono::steady_clock::now() + limit;
    while (isRunning()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return d->child.exit_code();
}

bool ChildProcess::isRunning()
{
    std::error_code ignored;
    return d->child.running(ignored);
}

int ChildProcess::pid() const
{
    return d->child.id();
}

const std::string &ChildProcess::name() const
{
    return d->options.name;
}

std::string ChildProcess::output() const
{
    std::ifstream file(d->options.output);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string valueInLine(std::string_view line, std::string_view key)
{
    const std::string pattern = std::string(key) + "=";
    for (std::size_t at = line.find(pattern); at != std::string_view::npos; at = line.find(pattern, at + 1)) {
        if (at == 0 || line[at - 1] == ' ') {
            const auto start = at + pattern.size();
            return std::string(line.substr(start, line.find(' ', start) - start));
        }
    }
    return {};
}

} // namespace Carobflow::Bench
