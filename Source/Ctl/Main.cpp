#include "Ctl/CtlCommands.h"

#include <exception>
#include <iostream>

int main(int argc, char **argv)
{
    try {
        return static_cast<int>(Mangofall::runCtl({argv, argv + argc}, std::cout, std::cerr));
    } catch (const std::exception &error) {
        std::cerr << "mangofallctl: " << error.what() << '\n';
        return static_cast<int>(Mangofall::CtlStatus::Failure);
    }
}
