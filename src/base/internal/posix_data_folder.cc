#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "base/base_result_codes.h"
#include "base/data_folder.h"

namespace hibiscusglade {
namespace {

constexpr mode_t kFileMode = 0640;
constexpr mode_t kFolderMode = 0750;
constexpr size_t kReadBlockBytes = 1 << 16;
constexpr char kLockFile[] = "lock";
constexpr char kTemporarySuffix[] = ".new";

class Descriptor {
 public:
  explicit Descriptor(int fd) : fd_(fd) {}
  ~Descriptor() {
    if (fd_ >= 0) close(fd_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  int Value() const { return fd_; }
  bool Ok() const { return fd_ >= 0; }

 private:
  int fd_;
};

bool WriteAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t bytes_written = write(fd, bytes.data(), bytes.size());
    if (bytes_written < 0 && errno == EINTR) continue;
    if (bytes_written <= 0) return false;
    bytes.remove_prefix(static_cast<size_t>(bytes_written));
  }
  return true;
}

class PosixAppendFile : public AppendFile {
 public:
  explicit PosixAppendFile(int fd) : descriptor_(fd) {}

  std::error_code Append(std::string_view bytes) override {
    if (WriteAll(descriptor_.Value(), bytes)) return {};
    return BaseCode::kFileUnwritable;
  }

  std::error_code Sync() override {
    if (fdatasync(descriptor_.Value()) == 0) return {};
    return BaseCode::kSyncFailed;
  }

  std::error_code Truncate(uint64_t size) override {
    if (ftruncate(descriptor_.Value(), static_cast<off_t>(size)) == 0) {
      return {};
    }
    return BaseCode::kFileUnwritable;
  }

 private:
  Descriptor descriptor_;
};

class PosixDataFolder : public DataFolder {
 public:
  PosixDataFolder(std::string path, int lock_fd)
      : path_(std::move(path)), lock_(lock_fd) {}

  std::optional<std::string> Read(const std::string& name,
                                  std::error_code& error) override {
    Descriptor file(open(PathOf(name).c_str(), O_RDONLY | O_CLOEXEC));
    if (!file.Ok()) {
      if (errno != ENOENT) error = BaseCode::kFileUnreadable;
      return std::nullopt;
    }
    std::string content;
    std::string block(kReadBlockBytes, '\0');
    while (true) {
      ssize_t bytes_read = read(file.Value(), block.data(), block.size());
      if (bytes_read < 0 && errno == EINTR) continue;
      if (bytes_read < 0) {
        error = BaseCode::kFileUnreadable;
        return std::nullopt;
      }
      if (bytes_read == 0) return content;
      content.append(block, 0, static_cast<size_t>(bytes_read));
    }
  }

  std::error_code WriteAtomically(const std::string& name,
                                  std::string_view content) override {
    const std::string temporary = PathOf(name) + kTemporarySuffix;
    {
      Descriptor file(open(temporary.c_str(),
                           O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
                           kFileMode));
      if (!file.Ok() || !WriteAll(file.Value(), content)) {
        return BaseCode::kFileUnwritable;
      }
      if (fsync(file.Value()) != 0) return BaseCode::kSyncFailed;
    }
    if (rename(temporary.c_str(), PathOf(name).c_str()) != 0) {
      return BaseCode::kFileUnwritable;
    }
    return SyncFolder();
  }

  std::unique_ptr<AppendFile> OpenAppend(const std::string& name,
                                         std::error_code& error) override {
    int fd = open(PathOf(name).c_str(),
                  O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
    if (fd < 0) {
      error = BaseCode::kFileUnwritable;
      return nullptr;
    }
    auto file = std::make_unique<PosixAppendFile>(fd);
    error = SyncFolder();
    return error ? nullptr : std::move(file);
  }

  std::error_code Remove(const std::string& name) override {
    if (unlink(PathOf(name).c_str()) != 0 && errno != ENOENT) {
      return BaseCode::kFileUnwritable;
    }
    return SyncFolder();
  }

  std::vector<std::string> Names() const override {
    std::vector<std::string> names;
    DIR* folder = opendir(path_.c_str());
    if (folder == nullptr) return names;
    while (const dirent* entry = readdir(folder)) {
      std::string name = entry->d_name;
      if (name != "." && name != ".." && name != kLockFile) {
        names.push_back(std::move(name));
      }
    }
    closedir(folder);
    std::sort(names.begin(), names.end());
    return names;
  }

 private:
  std::string PathOf(const std::string& name) const {
    return path_ + "/" + name;
  }

  std::error_code SyncFolder() const {
    Descriptor folder(open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!folder.Ok() || fsync(folder.Value()) != 0) {
      return BaseCode::kSyncFailed;
    }
    return {};
  }

  std::string path_;
  Descriptor lock_;
};

}  // namespace

std::unique_ptr<DataFolder> OpenDataFolder(const std::string& path,
                                           std::error_code& error) {
  if (mkdir(path.c_str(), kFolderMode) != 0 && errno != EEXIST) {
    error = BaseCode::kFileUnwritable;
    return nullptr;
  }
  const std::string lock_path = path + "/" + kLockFile;
  int lock_fd =
      open(lock_path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (lock_fd < 0 || flock(lock_fd, LOCK_EX | LOCK_NB) != 0) {
    if (lock_fd >= 0) close(lock_fd);
    error = BaseCode::kFileUnwritable;
    return nullptr;
  }
  return std::make_unique<PosixDataFolder>(path, lock_fd);
}

}  // namespace hibiscusglade
