#ifndef HIBISCUSGLADE_BASE_DATA_FOLDER_H_
#define HIBISCUSGLADE_BASE_DATA_FOLDER_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace hibiscusglade {

/// File to which records are added at the end.
class AppendFile {
 public:
  virtual ~AppendFile() = default;

  /// Adds bytes at the end; they last only after Sync().
  /// @return BaseCode::kFileUnwritable on failure, for example a full disk.
  virtual std::error_code Append(std::string_view bytes) = 0;

  /// Makes all that was appended last.
  /// @return BaseCode::kSyncFailed; afterwards the file must not be
  /// trusted, since what the disk holds is not known.
  virtual std::error_code Sync() = 0;

  /// Cuts the file to a size in bytes.
  virtual std::error_code Truncate(uint64_t size) = 0;
};

/// The one folder that holds a replica's lasting state.
class DataFolder {
 public:
  virtual ~DataFolder() = default;

  /// @param name file name without a path.
  /// @return the whole content; nullopt when there is no such file.
  /// @param error set to BaseCode::kFileUnreadable when reading fails.
  virtual std::optional<std::string> Read(const std::string& name,
                                          std::error_code& error) = 0;

  /// Replaces a file whole: it holds the old or the new content after a crash.
  /// Synced, with its folder, before it returns.
  virtual std::error_code WriteAtomically(const std::string& name,
                                          std::string_view content) = 0;

  /// Opens a file for appending and makes it when absent.
  /// @return nullptr with `error` set when it can't be opened.
  virtual std::unique_ptr<AppendFile> OpenAppend(const std::string& name,
                                                 std::error_code& error) = 0;

  /// Removes a file; no error when it is absent.
  virtual std::error_code Remove(const std::string& name) = 0;

  /// @return names of the files in the folder, sorted.
  virtual std::vector<std::string> Names() const = 0;
};

/// Opens a folder of the machine and makes it when absent. An exclusive lock
/// keeps a second process out.
/// @param path path of the folder.
/// @param error set when the folder can't be opened or is locked.
std::unique_ptr<DataFolder> OpenDataFolder(const std::string& path,
                                           std::error_code& error);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_DATA_FOLDER_H_
