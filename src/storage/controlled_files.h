// For a lab: the system's files, which fail as a control file says at that moment. Its words, by
// themselves: `full` (no room for what is appended), `slow MS` (each sync takes so long),
// `sync-fails`. An empty one or none: all is well.
#ifndef PADDLESTILE_STORAGE_CONTROLLED_FILES_H_
#define PADDLESTILE_STORAGE_CONTROLLED_FILES_H_

#include <memory>
#include <string>

#include "storage/files.h"

namespace paddlestile::storage {

std::unique_ptr<FileSystem> ControlledFileSystem(std::string control);

}  // namespace paddlestile::storage

#endif  // PADDLESTILE_STORAGE_CONTROLLED_FILES_H_
