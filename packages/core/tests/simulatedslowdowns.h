#pragma once

#include "carobflow/core/hostmessages.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <utility>
#include <vector>

/// Ground truth of the slowdowns of a simulated service, which the code under test estimates from noisy windows.
class SimulatedSlowdowns
{
public:
    explicit SimulatedSlowdowns(std::uint64_t seed)
        : m_engine(seed)
    {
        for (int index = 0; index < 6; ++index) {
            // Steps of 0.1 to 0.2 in the logarithm make the order unambiguous; the first class is harmless.
            m_effects.push_back(index == 0 ? 0 : m_effects.back() + uniform(0.1, 0.2));
            m_slopes.push_back(uniform(0, 0.2) * index);
        }
        std::vector<std::size_t> order(m_effects.size());
        for (std::size_t index = 0; index < order.size(); ++index) {
            order[index] = index;
        }
        std::shuffle(order.begin(), order.end(), m_engine);
        for (const std::size_t index : order) {
            m_names.push_back("class" + std::to_string(index));
        }
    }

    [[nodiscard]] const std::vector<std::string> &classes() const
    {
        return m_names;
    }

    [[nodiscard]] double effect(const std::string &jobClass, double load) const
    {
        const auto index = std::stoul(jobClass.substr(5));
        return m_effects[index] + m_slopes[index] * (load - 0.5);
    }

    /// A window of a service whose own tail is 40 ms to 80 ms, with neighbours given as class and processor share.
    Carobflow::ServiceWindow window(double load, const std::vector<std::pair<std::string, double>> &neighbours)
    {
        Carobflow::ServiceWindow window{.service = "desk",
                                        .completed = 500,
                                        .load = load,
                                        .length = Carobflow::Milliseconds(1000),
                                        .jobClasses = {}};
        double logTail = std::log(40 * (1 + load * load));
        for (const auto &[jobClass, share] : neighbours) {
            logTail += share * effect(jobClass, load);
            window.jobClasses.push_back(jobClass);
        }
        window.p99Milliseconds = std::exp(logTail + std::normal_distribution<double>(0, 0.1)(m_engine));
        return window;
    }

    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(m_engine);
    }

    std::size_t below(std::size_t limit)
    {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(m_engine);
    }

private:
    std::mt19937_64 m_engine;
    std::vector<double> m_effects;
    std::vector<double> m_slopes;
    std::vector<std::string> m_names;
};
