#pragma once

#include <galenaturn/daemon.h>
#include <galenaturn/ledger.h>

#include <map>

namespace galenaturn::controld {

/**
 * Pushes each new catalogue to entries. Every control process pushes to the entries of its own
 * domain, so that the load is spread; the leader also to those of domains without one.
 */
class catalogue_push {
public:
    explicit catalogue_push(daemon::context& shared);

    void push(const wire::catalogue_document& document, bool leads);

private:
    static boost::asio::awaitable<void> send(catalogue_push* self, process_id entry,
                                             std::string payload);

    daemon::context& shared_;
    std::vector<process_id> own_entries_;
    std::vector<process_id> other_entries_;
    counter& pushed_;
    counter& failed_;
};

} // namespace galenaturn::controld
