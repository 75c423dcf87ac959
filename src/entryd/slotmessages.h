#pragma once

#include <galenaturn/messages.h>

#include <string>
#include <vector>

namespace galenaturn::entryd {

/** Frame slot_request: asks another entry for a slot of one of the upstreams at home there. */
struct slot_request {
    service_id service;
    /** Upstreams that the request has been sent to before. */
    std::vector<upstream_id> excluded;
    /** How long the slot is wanted, from the moment the borrower sent this. */
    duration span{};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(service, excluded, span);
    }
};

/** Answer to slot_request. */
struct slot_answer {
    bool granted{false};
    /** Names the loan in slot_return. */
    std::uint64_t loan{0};
    upstream_id upstream;
    incarnation life;
    ip_endpoint address;
    std::uint32_t slots{0};
    std::uint32_t connections{0};
    /** Whether the lender has upstreams of this service at all. */
    bool has_upstreams{false};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(granted, loan, upstream, life, address, slots, connections, has_upstreams);
    }
};

/** Frame slot_return: gives a loan back and says how the attempt went. */
struct slot_return {
    std::uint64_t loan{0};
    bool failed{false};
    /** False where the attempt says nothing about the upstream. */
    bool counts{true};
    duration took{};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(loan, failed, counts, took);
    }
};

} // namespace galenaturn::entryd
