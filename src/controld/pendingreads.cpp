#include "pendingreads.h"

namespace galenaturn::controld {

namespace {

constexpr std::size_t max_pending_reads = 4096;

} // namespace

bool pending_reads::add(answer read)
{
    if (arrived_.size() + awaited_.size() >= max_pending_reads)
        return false;
    arrived_.push_back(std::move(read));
    return true;
}

void pending_reads::begin(std::uint64_t round)
{
    awaited_ = std::exchange(arrived_, {});
    awaited_round_ = round;
}

void pending_reads::confirm(std::uint64_t round)
{
    if (round < awaited_round_)
        return;
    for (const auto& read : std::exchange(awaited_, {}))
        read(true);
}

void pending_reads::refuse_all()
{
    auto refused = std::exchange(awaited_, {});
    for (auto& read : std::exchange(arrived_, {}))
        refused.push_back(std::move(read));
    for (const auto& read : refused)
        read(false);
}

} // namespace galenaturn::controld
