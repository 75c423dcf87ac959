#include "replicalog.h"

namespace galenaturn::ledger {

replica_log::replica_log(log_index base, term base_term, voter_set voters)
    : base_{base}, base_term_{base_term}, configurations_{{base, std::move(voters)}}
{
}

log_index replica_log::last_index() const
{
    return entries_.empty() ? base_ : entries_.back().index;
}

term replica_log::last_term() const
{
    return entries_.empty() ? base_term_ : entries_.back().entry_term;
}

bool replica_log::has_term_of(log_index index) const
{
    return index >= base_ && index <= last_index();
}

term replica_log::term_of(log_index index) const
{
    return index == base_ ? base_term_ : at(index).entry_term;
}

const log_entry& replica_log::at(log_index index) const
{
    GN_INVARIANT(index > base_ && index <= last_index(), {"index", index}, {"base", base_});
    return entries_[index.value() - base_.value() - 1];
}

void replica_log::append(log_entry entry)
{
    GN_INVARIANT(entry.index == last_index().next(), {"index", entry.index},
                 {"last", last_index()});
    GN_INVARIANT(entry.entry_term >= last_term(), {"term", entry.entry_term});
    bytes_ += entry.payload.size();
    if (entry.kind == entry_kind::voters) {
        auto set = wire::decode<voter_set>(entry.payload);
        GN_INVARIANT(set.has_value(), {"index", entry.index});
        configurations_.push_back({entry.index, std::move(set).value()});
    }
    entries_.push_back(std::move(entry));
}

void replica_log::truncate_after(log_index index)
{
    GN_INVARIANT(index >= base_, {"index", index}, {"base", base_});
    while (!entries_.empty() && entries_.back().index > index) {
        bytes_ -= entries_.back().payload.size();
        entries_.pop_back();
    }
    while (configurations_.size() > 1 && configurations_.back().index > index)
        configurations_.pop_back();
}

void replica_log::compact(log_index index)
{
    GN_INVARIANT(index <= last_index(), {"index", index}, {"last", last_index()});
    if (index <= base_)
        return;
    base_term_ = term_of(index);
    while (!entries_.empty() && entries_.front().index <= index) {
        bytes_ -= entries_.front().payload.size();
        entries_.pop_front();
    }
    base_ = index;
    while (configurations_.size() > 1 && configurations_[1].index <= index)
        configurations_.erase(configurations_.begin());
}

const voter_set& replica_log::voters_at(log_index index) const
{
    const auto* in_force = &configurations_.front().set;
    for (const auto& configuration : configurations_) {
        if (configuration.index <= index)
            in_force = &configuration.set;
    }
    return *in_force;
}

} // namespace galenaturn::ledger
