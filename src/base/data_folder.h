#ifndef HIBISCUSGLADE_BASE_DATA_FOLDER_H_
#define HIBISCUSGLADE_BASE_DATA_FOLDER_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace hibiscusglade {

/// File that is written by appending.
class AppendFile {
 public:
  virtual ~AppendFile() = default;

  /// Appends bytes, which are durable only after Sync().
  /// @return BaseCode::kFileUnwritable on failure, for example a full disk.
  virtual std::error_code Append(std::string_view bytes) = 0;

  /// Makes all appended bytes durable.
  /// @return BaseCode::kSyncFailed on failure; the file must not be used
  /// afterwards, because it is unknown which bytes are on the disk.
  virtual std::error_code Sync() = 0;

  /// Truncates the file to a size in bytes.
  virtual std::error_code Truncate(uint64_t size) = 0;
};

/// Folder that holds all persistent state of a replica.
class DataFolder {
 public:
  virtual ~DataFolder() = default;

  /// @param name file name without a path.
  /// @return the whole content; nullopt when there is no such file.
  /// @param error set to BaseCode::kFileUnreadable when reading fails.
  virtual std::optional<std::string> Read(const std::string& name,
                                          std::error_code& error) = 0;

  /// Replaces a file atomically: after a crash it holds either the old or the
  /// new content. Syncs the file and the folder before it returns.
  virtual std::error_code WriteAtomically(const std::string& name,
                                          std::string_view content) = 0;

  /// Opens a file for appending; creates it when it is absent.
  /// @return nullptr with `error` set when it can't be opened.
  virtual std::unique_ptr<AppendFile> OpenAppend(const std::string& name,
                                                 std::error_code& error) = 0;

  /// Removes a file; no error when it is absent.
  virtual std::error_code Remove(const std::string& name) = 0;

  /// @return names of the files in the folder, sorted.
  virtual std::vector<std::string> Names() const = 0;
};

/// Opens a folder of the file system; creates it when it is absent. Takes an
/// exclusive lock, so that a second process can't open it.
/// @param path path of the folder.
/// @param error set when the folder can't be opened or is locked.
std::unique_ptr<DataFolder> OpenDataFolder(const std::string& path,
                                           std::error_code& error);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_DATA_FOLDER_H_
