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

/** A folder of the file system. */
public final class FileSystemDirectory implements StorageDirectory {
  private static final String LOCK = "lock";

  private final Path path;
  private FileChannel lockFile;
  private FileLock lock;

  public FileSystemDirectory(Path path) throws IOException {
    this.path = Files.createDirectories(path);
  }

  @Override
  public List<String> list() throws IOException {
    try (Stream<Path> files = Files.list(path)) {
      return files
          .map(file -> file.getFileName().toString())
          .filter(name -> !name.equals(LOCK))
          .sorted()
          .toList();
    }
  }

  @Override
  public Out create(String name) throws IOException {
    FileChannel file =
        FileChannel.open(
            path.resolve(name),
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE);
    return new Out() {
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
  public byte[] read(String name, int most) throws IOException {
    try (var in = Files.newInputStream(path.resolve(name))) {
      return in.readNBytes(most);
    }
  }

  @Override
  public void truncate(String name, long size) throws IOException {
    try (FileChannel file = FileChannel.open(path.resolve(name), StandardOpenOption.WRITE)) {
      file.truncate(size);
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
  public void syncFolder() throws IOException {
    try (FileChannel folder = FileChannel.open(path, StandardOpenOption.READ)) {
      folder.force(true);
    }
  }

  @Override
  public boolean lock() throws IOException {
    lockFile =
        FileChannel.open(path.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    try {
      lock = lockFile.tryLock();
    } catch (OverlappingFileLockException e) {
      lock = null;
    }
    if (lock == null) {
      lockFile.close();
    }
    return lock != null;
  }

  @Override
  public void close() throws IOException {
    if (lock != null) {
      lock.release();
      lockFile.close();
    }
  }
}
