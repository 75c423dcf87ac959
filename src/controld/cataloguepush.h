#pragma once

#include <galenaturn/daemon.h>
#include <galenaturn/ledger.h>

#include <map>

namespace galenaturn::controld {

/**
 * Pushes each new catalogue version to the entries. To spread the load, each control process pushes
 * to the entries of its own failure domain; the leader also to those of domains that have no
 * control process.
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
