#include "carobflow/client/client.h"

#include <iostream>
#include <string>
#include <vector>

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(Carobflow::runClient(arguments, std::cout, std::cerr));
}
