#include "posixfolder.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

namespace galenaturn::ledger {

namespace {

constexpr int file_mode = 0600;

/** Locks a file against other processes until it is closed; creates it if it does not exist. */
result<std::unique_ptr<posix_file>> lock_file(const std::string& path)
{
    auto file =
        std::make_unique<posix_file>(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, file_mode));
    if (!file->is_open())
        return make_error_code(ledger_error::folder_unusable);
    if (::flock(file->descriptor(), LOCK_EX | LOCK_NB) != 0)
        return make_error_code(ledger_error::folder_locked);
    return file;
}

} // namespace

posix_file::~posix_file()
{
    if (is_open())
        ::close(descriptor_);
}

result<void> posix_file::write(std::string_view data)
{
    while (!data.empty()) {
        const auto written = ::write(descriptor_, data.data(), data.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written <= 0)
            return make_error_code(ledger_error::write_failed);
        data.remove_prefix(static_cast<std::size_t>(written));
    }
    return success();
}

result<void> posix_file::sync()
{
    // A failed sync may have dropped the data, so it must not be retried on the same file.
    if (::fdatasync(descriptor_) != 0)
        return make_error_code(ledger_error::sync_failed);
    return success();
}

posix_folder::posix_folder(std::string path, std::unique_ptr<posix_file> lock)
    : path_{std::move(path)}, lock_{std::move(lock)}
{
}

result<std::unique_ptr<disk_folder>> posix_folder::open(const std::string& path, findings& found)
{
    std::error_code error;
    std::filesystem::create_directories(path, error);
    if (error) {
        found.add({path, 0, 0}, "the data folder cannot be created: " + error.message(),
                  "check 'data_folder' and its permissions");
        return make_error_code(ledger_error::folder_unusable);
    }
    auto lock = lock_file(path + "/lock");
    if (!lock) {
        found.add({path, 0, 0}, lock.error().message(),
                  "stop the other process or set another 'data_folder'");
        return lock.error();
    }
    return std::unique_ptr<disk_folder>{new posix_folder{path, std::move(lock).value()}};
}

std::vector<std::string> posix_folder::names() const
{
    std::vector<std::string> names;
    std::error_code ignored;
    for (const auto& entry : std::filesystem::directory_iterator{path_, ignored})
        names.push_back(entry.path().filename().string());
    std::sort(names.begin(), names.end());
    return names;
}

result<std::string> posix_folder::read(const std::string& name) const
{
    std::ifstream in{path_of(name), std::ios::binary};
    if (!in)
        return make_error_code(ledger_error::folder_unusable);
    std::string content{std::istreambuf_iterator<char>{in}, std::istreambuf_iterator<char>{}};
    if (in.bad())
        return make_error_code(ledger_error::folder_unusable);
    return content;
}

result<std::unique_ptr<append_file>> posix_folder::open_for_append(const std::string& name)
{
    auto file = std::make_unique<posix_file>(
        ::open(path_of(name).c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, file_mode));
    if (!file->is_open())
        return make_error_code(ledger_error::write_failed);
    return std::unique_ptr<append_file>{std::move(file)};
}

result<void> posix_folder::truncate(const std::string& name, std::size_t size)
{
    if (::truncate(path_of(name).c_str(), static_cast<off_t>(size)) != 0)
        return make_error_code(ledger_error::write_failed);
    return success();
}

result<void> posix_folder::rename(const std::string& from, const std::string& to)
{
    if (::rename(path_of(from).c_str(), path_of(to).c_str()) != 0)
        return make_error_code(ledger_error::write_failed);
    return success();
}

void posix_folder::remove(const std::string& name)
{
    ::unlink(path_of(name).c_str());
}

result<void> posix_folder::sync()
{
    const posix_file folder{::open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)};
    if (!folder.is_open() || ::fsync(folder.descriptor()) != 0)
        return make_error_code(ledger_error::sync_failed);
    return success();
}

} // namespace galenaturn::ledger
