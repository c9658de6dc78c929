#include "free_port.h"

#include <gtest/gtest.h>

#include <fstream>
#include <set>

using namespace rattanrack::node::tests;

TEST(FreePort, IsAssignedOnceAndOutsideTheEphemeralRange)
{
    constexpr int count = 100;
    int firstEphemeralPort = 0;
    std::ifstream { "/proc/sys/net/ipv4/ip_local_port_range" } >> firstEphemeralPort;
    ASSERT_GT(firstEphemeralPort, 0);
    std::set<int> ports;
    for (int number = 0; number < count; ++number) {
        const int port = freePort();
        EXPECT_GE(port, firstTestPort);
        EXPECT_LT(port, firstEphemeralPort);
        ports.insert(port);
    }
    EXPECT_EQ(ports.size(), static_cast<std::size_t>(count));
}
