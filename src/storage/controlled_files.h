// For experiments: the operating system's files with fault injection. A control file, which is read
// before each append and sync, contains one of these commands:
//
//   full         an append fails for lack of space
//   slow MS      a sync is delayed by MS milliseconds
//   sync-fails   a sync fails
//
// If the control file is empty or missing, all operations succeed.
#ifndef PADDLESTILE_STORAGE_CONTROLLED_FILES_H_
#define PADDLESTILE_STORAGE_CONTROLLED_FILES_H_

#include <memory>
#include <string>

#include "storage/files.h"

namespace paddlestile::storage {

std::unique_ptr<FileSystem> ControlledFileSystem(std::string control_path);

}  // namespace paddlestile::storage

#endif  // PADDLESTILE_STORAGE_CONTROLLED_FILES_H_
