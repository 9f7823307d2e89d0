#include <savorymount/runtime/client_account.hpp>

#include <gtest/gtest.h>

namespace savorymount::runtime
{
namespace
{

using namespace std::chrono_literals;

// Guards against an account that ends clients while there is room, or none when there is not.
TEST(client_account, ends_clients_only_above_the_bound)
{
    base::time_point const start{};
    int first = 0;
    int second = 0;
    client_account account(100);
    account.update(start, &first, 60);
    account.update(start, &second, 40);
    EXPECT_EQ(account.excess(start + 1s), std::nullopt);
    account.update(start, &second, 41);
    EXPECT_EQ(account.held_bytes(), 101U);
    EXPECT_EQ(account.excess(start + 1s), &first);
    account.remove(&first);
    EXPECT_EQ(account.held_bytes(), 41U);
    EXPECT_EQ(account.excess(start + 1s), std::nullopt);
}

// Guards against an ordinary client that pays for one which has stopped.
TEST(client_account, ends_the_client_that_makes_no_progress)
{
    base::time_point const start{};
    int stopped = 0;
    int advancing = 0;
    client_account account(100);
    account.update(start, &stopped, 50);
    account.update(start + 1s, &advancing, 80);
    EXPECT_EQ(account.excess(start + 1s), &stopped);
}

// Guards against memory that stays counted after a request has arrived whole.
TEST(client_account, forgets_a_client_that_holds_nothing)
{
    int client = 0;
    client_account account(10);
    account.update({}, &client, 20);
    account.update({}, &client, 0);
    EXPECT_EQ(account.held_bytes(), 0U);
    EXPECT_EQ(account.excess(base::time_point{}), std::nullopt);
}

} // namespace
} // namespace savorymount::runtime
