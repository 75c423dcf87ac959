#pragma once

#include "daemon.h"

#include <galenaturn/membership.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace galenaturn::daemon {

/** Finds the control processes through the seeds and keeps their links up to date. */
class roster_service : public service {
public:
    explicit roster_service(context& shared);
    result<void> start() override;

    [[nodiscard]] const membership::roster& known() const { return roster_; }
    /** Returns the leader of the ledger, heard within presence_limit; empty where none is. */
    [[nodiscard]] process_id leader() const;
    /** Asked for the leader by a control process; an entry takes what it is told. */
    std::function<process_id()> own_view_of_leader;

private:
    void take(const membership::roster_message& message);
    void exchange_later();
    void exchange();
    static boost::asio::awaitable<void> ask(roster_service* self, process_id control);

    context& shared_;
    membership::roster roster_;
    boost::asio::steady_timer timer_;
    process_id told_leader_;
    time_point leader_told_at_;
    counter& exchanges_;
    counter& unanswered_;
    gauge& present_;
};

} // namespace galenaturn::daemon
