#include "carobflow/bench/processusage.h"

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>

#include <unistd.h>

namespace Carobflow::Bench
{
namespace
{

std::string fieldAt(std::istream &input, int position)
{
    std::string field;
    for (int index = 0; index < position; ++index) {
        input >> field;
    }
    return field;
}

} // namespace

ProcessUsage ProcessUsage::of(int pid)
{
    const std::string directory = "/proc/" + std::to_string(pid);
    std::ifstream stat(directory + "/stat");
    std::string text;
    if (!std::getline(stat, text)) {
        throw std::runtime_error("process " + std::to_string(pid) + " has ended");
    }
    // The program name, in parentheses, may contain spaces. User and system time are fields 12 and 13 after it.
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    const double user = std::stod(fieldAt(fields, 12));
    const double system = std::stod(fieldAt(fields, 1));
    ProcessUsage usage{.cpuSeconds = (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK))};
    std::ifstream status(directory + "/status");
    while (std::getline(status, text)) {
        if (text.starts_with("VmRSS:")) {
            usage.residentMiB = std::stod(text.substr(6)) / 1024;
        }
    }
    return usage;
}

} // namespace Carobflow::Bench
