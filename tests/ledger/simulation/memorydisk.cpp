#include "memorydisk.h"

#include <algorithm>
#include <utility>

namespace galenaturn::ledger {

std::string memory_disk::file::content() const
{
    auto content = synced;
    for (const auto& change : unsynced) {
        if (change.is_cut) {
            content.resize(change.offset);
            continue;
        }
        content.resize(std::max(content.size(), change.offset + change.data.size()));
        content.replace(change.offset, change.data.size(), change.data);
    }
    return content;
}

class memory_file : public append_file {
public:
    memory_file(memory_disk& disk, std::shared_ptr<memory_disk::file> file)
        : disk_{disk}, file_{std::move(file)}
    {
    }

    result<void> write(std::string_view data) override
    {
        const auto done = disk_.begin_operation();
        const auto size = done == last_operation::torn ? data.size() / 2 : data.size();
        if (done != last_operation::missing)
            file_->unsynced.push_back(
                {file_->content().size(), std::string{data.substr(0, size)}, false});
        disk_.end_operation();
        return success();
    }

    result<void> sync() override
    {
        if (disk_.begin_operation() == last_operation::whole) {
            file_->synced = file_->content();
            file_->unsynced.clear();
        }
        disk_.end_operation();
        return success();
    }

private:
    memory_disk& disk_;
    std::shared_ptr<memory_disk::file> file_;
};

class memory_folder : public disk_folder {
public:
    explicit memory_folder(memory_disk& disk) : disk_{disk} {}

    [[nodiscard]] std::string path() const override { return "memory"; }

    [[nodiscard]] std::vector<std::string> names() const override
    {
        std::vector<std::string> names;
        for (const auto& [name, file] : disk_.names_)
            names.push_back(name);
        return names;
    }

    [[nodiscard]] result<std::string> read(const std::string& name) const override
    {
        const auto found = disk_.names_.find(name);
        if (found == disk_.names_.end())
            return make_error_code(ledger_error::folder_unusable);
        return found->second->content();
    }

    result<std::unique_ptr<append_file>> open_for_append(const std::string& name) override
    {
        auto found = disk_.names_.find(name);
        if (found == disk_.names_.end()) {
            if (disk_.begin_operation() == last_operation::whole)
                disk_.names_.emplace(name, std::make_shared<memory_disk::file>());
            disk_.end_operation();
            found = disk_.names_.find(name);
        }
        return std::unique_ptr<append_file>{std::make_unique<memory_file>(disk_, found->second)};
    }

    result<void> truncate(const std::string& name, std::size_t size) override
    {
        if (disk_.begin_operation() == last_operation::whole)
            disk_.names_.at(name)->unsynced.push_back({size, {}, true});
        disk_.end_operation();
        return success();
    }

    result<void> rename(const std::string& from, const std::string& to) override
    {
        if (disk_.begin_operation() == last_operation::whole) {
            disk_.names_[to] = disk_.names_.at(from);
            disk_.names_.erase(from);
        }
        disk_.end_operation();
        return success();
    }

    void remove(const std::string& name) override
    {
        if (!disk_.names_.contains(name))
            return;
        if (disk_.begin_operation() == last_operation::whole)
            disk_.names_.erase(name);
        disk_.end_operation();
    }

    result<void> sync() override
    {
        if (disk_.begin_operation() == last_operation::whole)
            disk_.durable_names_ = disk_.names_;
        disk_.end_operation();
        return success();
    }

private:
    memory_disk& disk_;
};

memory_disk::memory_disk(const memory_disk& other)
{
    std::map<const file*, std::shared_ptr<file>> copies;
    const auto copy_of = [&](const std::shared_ptr<file>& original) {
        auto& copy = copies[original.get()];
        if (!copy)
            copy = std::make_shared<file>(*original);
        return copy;
    };
    for (const auto& [name, original] : other.names_)
        names_.emplace(name, copy_of(original));
    for (const auto& [name, original] : other.durable_names_)
        durable_names_.emplace(name, copy_of(original));
}

std::unique_ptr<disk_folder> memory_disk::open()
{
    return std::make_unique<memory_folder>(*this);
}

void memory_disk::kill_after(std::size_t operations, last_operation last)
{
    kill_at_ = operations_ + operations + 1;
    kill_mode_ = last;
}

last_operation memory_disk::begin_operation()
{
    ++operations_;
    return kill_at_ && operations_ >= *kill_at_ ? kill_mode_ : last_operation::whole;
}

void memory_disk::end_operation() const
{
    if (kill_at_ && operations_ >= *kill_at_)
        throw killed_error{"killed at operation " + std::to_string(operations_)};
}

void memory_disk::restart(power_loss loss)
{
    operations_ = 0;
    kill_at_.reset();
    if (loss == power_loss::none)
        return;
    if (loss == power_loss::everything_unsynced || loss == power_loss::names)
        names_ = durable_names_;
    for (const auto& [name, file] : names_) {
        if (loss == power_loss::half_of_data) {
            for (auto& change : file->unsynced)
                change.data.resize(change.data.size() / 2);
        }
        if (loss == power_loss::names || loss == power_loss::half_of_data)
            file->synced = file->content();
        file->unsynced.clear();
    }
    durable_names_ = names_;
}

} // namespace galenaturn::ledger
