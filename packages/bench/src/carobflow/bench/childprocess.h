#pragma once

#include "carobflow/core/types.h"

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Carobflow::Bench
{

/// A child process whose standard output and error go to a file. The destructor kills it if it is still running.
class ChildProcess
{
public:
    struct Options {
        std::string name;
        std::filesystem::path program;
        std::vector<std::string> arguments;
        std::filesystem::path output;
    };

    explicit ChildProcess(Options options);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// Waits for an output line that contains the text and returns that line. Throws std::runtime_error with the end
    /// of the output when the process ends first or the limit passes.
    std::string waitForLine(std::string_view text, Milliseconds limit = Milliseconds(20000));

    void signal(int number);

    /// Waits for the process to end. Returns its exit code, or nothing when the limit passes.
    std::optional<int> waitForEnd(Milliseconds limit);

    [[nodiscard]] bool isRunning();
    [[nodiscard]] int pid() const;
    [[nodiscard]] const std::string &name() const;
    [[nodiscard]] std::string output() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

/// The value of `key=value` in a line; empty when the key is missing.
std::string valueInLine(std::string_view line, std::string_view key);

} // namespace Carobflow::Bench
