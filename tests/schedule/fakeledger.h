#pragma once

#include <galenaturn/ledger.h>
#include <galenaturn/schedule.h>

#include <map>
#include <vector>

namespace galenaturn::schedule {

/** What one command changed. */
struct fake_change {
    std::vector<task_id> tasks;
    bool stewardships{false};
};

/** The part of the ledger's state machine that tasks need; each voter has its own copy. */
struct fake_ledger_state {
    std::map<task_id, wire::task_record> tasks;
    std::map<failure_domain_id, ledger::stewardship> stewardships;

    /** Applies a command as the ledger's state machine does. */
    fake_change apply(const wire::command& command);

private:
    void apply_assignment(const wire::assign_tasks::item& item, fake_change& change);
    void apply_report(const wire::report_tasks::item& item, fake_change& change);
    void apply_end(const task_id& id, bool wire::task_record::*flag, fake_change& change);
    void finish(wire::task_record& task, wire::task_outcome outcome, fake_change& change);
};

/** Returns how far a task had got at a checkpoint of the fake workers. */
duration checkpoint_progress(const std::optional<checkpoint_id>& checkpoint);

} // namespace galenaturn::schedule
