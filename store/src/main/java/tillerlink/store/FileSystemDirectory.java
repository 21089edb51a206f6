package tillerlink.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** A storage directory in the file system, locked through a lock file in it. */
public final class FileSystemDirectory implements StorageDirectory {
  private static final String LOCK_FILE = "lock";

  private final Path path;
  private FileChannel lockChannel;
  private FileLock lock;

  /**
   * Opens the directory and creates it, with its parents, if it does not exist.
   *
   * @throws IOException if the directory cannot be created
   */
  public FileSystemDirectory(Path path) throws IOException {
    this.path = Files.createDirectories(path);
  }

  @Override
  public List<String> list() throws IOException {
    try (Stream<Path> files = Files.list(path)) {
      return files
          .map(file -> file.getFileName().toString())
          .filter(name -> !name.equals(LOCK_FILE))
          .sorted()
          .toList();
    }
  }

  @Override
  public AppendOnlyFile create(String name) throws IOException {
    FileChannel file =
        FileChannel.open(
            path.resolve(name),
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE);
    return new AppendOnlyFile() {
      @Override
      public void write(byte[] bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.hasRemaining()) {
          file.write(buffer);
        }
      }

      @Override
      public void sync() throws IOException {
        file.force(false);
      }

      @Override
      public void close() throws IOException {
        file.close();
      }
    };
  }

  @Override
  public byte[] read(String name, int maxBytes) throws IOException {
    try (var in = Files.newInputStream(path.resolve(name))) {
      return in.readNBytes(maxBytes);
    }
  }

  @Override
  public void truncate(String name, long bytes) throws IOException {
    try (FileChannel file = FileChannel.open(path.resolve(name), StandardOpenOption.WRITE)) {
      file.truncate(bytes);
      file.force(true);
    }
  }

  @Override
  public void rename(String from, String to) throws IOException {
    Files.move(
        path.resolve(from),
        path.resolve(to),
        StandardCopyOption.ATOMIC_MOVE,
        StandardCopyOption.REPLACE_EXISTING);
  }

  @Override
  public void delete(String name) throws IOException {
    Files.deleteIfExists(path.resolve(name));
  }

  @Override
  public void syncDirectory() throws IOException {
    try (FileChannel directory = FileChannel.open(path, StandardOpenOption.READ)) {
      directory.force(true);
    }
  }

  @Override
  public boolean tryLock() throws IOException {
    lockChannel =
        FileChannel.open(
            path.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    try {
      lock = lockChannel.tryLock();
    } catch (OverlappingFileLockException e) {
      lock = null;
    }
    if (lock == null) {
      lockChannel.close();
    }
    return lock != null;
  }

  @Override
  public void close() throws IOException {
    if (lock != null) {
      lock.release();
      lockChannel.close();
    }
  }
}
