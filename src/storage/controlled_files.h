// For experiments: the operating system's files, which fail on command. A control file says how, by
// one word that is read before each append and sync:
//
//   full         an append fails for lack of space
//   slow MS      a sync takes that many milliseconds longer
//   sync-fails   a sync fails
//
// An empty or missing control file lets everything succeed.
#ifndef PADDLESTILE_STORAGE_CONTROLLED_FILES_H_
#define PADDLESTILE_STORAGE_CONTROLLED_FILES_H_

#include <memory>
#include <string>

#include "storage/files.h"

namespace paddlestile::storage {

std::unique_ptr<FileSystem> ControlledFileSystem(std::string control_path);

}  // namespace paddlestile::storage

#endif  // PADDLESTILE_STORAGE_CONTROLLED_FILES_H_
