#include "diskfolder.h"

namespace galenaturn::ledger {

result<void> replace_file(disk_folder& folder, const std::string& name, std::string_view data)
{
    const auto temporary = name + std::string{temporary_suffix};
    folder.remove(temporary);
    auto file = folder.open_for_append(temporary);
    if (!file)
        return file.error();
    if (auto written = file.value()->write(data); !written)
        return written;
    if (auto synced = file.value()->sync(); !synced)
        return synced;
    if (auto renamed = folder.rename(temporary, name); !renamed)
        return renamed;
    return folder.sync();
}

} // namespace galenaturn::ledger
