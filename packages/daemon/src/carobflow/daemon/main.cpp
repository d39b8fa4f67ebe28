#include "carobflow/logging/log.h"

#include <iostream>

#include <cxxopts.hpp>

int main(int argc, char **argv)
{
    cxxopts::Options options("carobflowd", "Runs an entry or an agent of carobflow.");
    options.add_options()("h,help", "print this help");
    if (options.parse(argc, argv).count("help") != 0) {
        std::cout << options.help() << std::endl;
    }
    return 0;
}
