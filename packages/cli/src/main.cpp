#include "commands.h"

#include <iostream>

int main(int argumentCount, char** arguments)
{
    return rattanrack::cli::runProgram({ arguments + 1, arguments + argumentCount }, std::cout, std::cerr);
}
