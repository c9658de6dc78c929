#pragma once

#include "rattanrack/jobs/customer.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrack::jobs {

/// A key by which calls name their customer.
struct CustomerKey {
    std::string key;
    CustomerId customer;
};

/// The keys of all customers. A lookup compares hashes with a seed that callers don't know and then the whole key, so
/// that its time does not depend on how much of a wrong key is right. Immutable, and therefore thread-safe.
///
///     const CustomerKeys keys { { { "k1", CustomerId { "a" } } }, seed };
///     const CustomerId* customer = keys.find(request.key); // null: unknown
class CustomerKeys {
public:
    /// The keys must differ from one another. `seed`: of the hashes; random in each process.
    CustomerKeys(const std::vector<CustomerKey>& keys, std::uint64_t seed);

    /// Returns the customer of the key; null if the key is unknown or empty. The pointer is valid for the lifetime of
    /// this object.
    const CustomerId* find(std::string_view key) const;

    std::size_t size() const { return m_entries.size(); }

private:
    struct Hash {
        std::uint64_t high { 0 };
        std::uint64_t low { 0 };

        friend auto operator<=>(const Hash&, const Hash&) = default;
    };
    struct Entry {
        Hash hash;
        std::uint32_t customer { 0 }; ///< Index into `m_customers`.
        std::uint32_t textBegin { 0 }; ///< Of the key, in `m_text`.
        std::uint32_t textSize { 0 };
    };

    Hash hashOf(std::string_view key) const;
    std::string_view textOf(const Entry& entry) const;

    std::uint64_t m_seed;
    std::vector<CustomerId> m_customers;
    std::vector<Entry> m_entries; ///< Ascending by hash.
    std::string m_text; ///< The keys, one after the other.
};

} // namespace rattanrack::jobs
