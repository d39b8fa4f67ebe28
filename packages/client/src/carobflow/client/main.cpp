
#include <iostream>

#include <cxxopts.hpp>

int main(int argc, char **argv)
{
    cxxopts::Options options("carobflow", "Operates a carobflow system.");
    options.add_options()("h,help", "print this help");
    if (options.parse(argc, argv).count("help") != 0) {
        std::cout << options.help() << std::endl;
    }
    return 0;
}
