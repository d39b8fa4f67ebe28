#pragma once

#include <chrono>
#include <cstdint>
#include <streambuf>
#include <string>

namespace Carobflow
{

/// Writes whole lines to a file descriptor and never waits for its reader: lines that do not fit into the pipe, or that
/// exceed the rate, are left out, and the next line that is written is preceded by their number.
class BoundedLines : public std::streambuf
{
public:
    struct Options {
        int descriptor = 1;
        /// Lines in a second on average, and in a burst. An agent at the peak of the sites' load writes about 150 a
        /// second and a leader about 400.
        double linesPerSecond = 1000;
        double burst = 2000;
    };

    explicit BoundedLines(Options options);

    [[nodiscard]] std::uint64_t leftOut() const
    {
        return m_leftOut;
    }

protected:
    int_type overflow(int_type character) override;
    std::streamsize xsputn(const char *text, std::streamsize count) override;
    int sync() override;

private:
    void writeLine();
    [[nodiscard]] bool takeToken();
    [[nodiscard]] bool isWritable() const;

    Options m_options;
    std::string m_line;
    std::uint64_t m_leftOut = 0;
    std::uint64_t m_unreported = 0;
    double m_tokens;
    std::chrono::steady_clock::time_point m_refilledAt;
};

} // namespace Carobflow
