package tillerlink.store;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * A disk in memory that can crash at any operation. What was synced is kept; of what was not, any
 * prefix, torn at any byte. Names that were created, moved or deleted since the folder was last
 * synced are so in an order that is cut anywhere.
 */
final class CrashingDirectory implements StorageDirectory {
  static final class Crash extends RuntimeException {
    private static final long serialVersionUID = 1L;
  }

  /** A file: what was written, and how much of it surely stays. */
  private static final class File {
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private int synced;

    File copy(int length) {
      File copy = new File();
      copy.written.write(written.toByteArray(), 0, length);
      copy.synced = length;
      return copy;
    }
  }

  private final Map<String, File> files = new TreeMap<>();

  /** Folders as they may be found: as last synced, then after each change since. */
  private final List<Map<String, File>> folders = new ArrayList<>(List.of(new TreeMap<>()));

  private long crashAt = Long.MAX_VALUE;
  private long faultAt = Long.MAX_VALUE;
  private long faultsUntil;
  private boolean syncsNothing;
  long operations;
  boolean locked;

  CrashingDirectory crashAt(long operation) {
    crashAt = operation;
    return this;
  }

  /** Operations that say EIO, from the first on, so many. */
  CrashingDirectory faults(long from, long count) {
    faultAt = from;
    faultsUntil = from + count;
    return this;
  }

  CrashingDirectory syncsNothing() {
    syncsNothing = true;
    return this;
  }

  private void step() throws IOException {
    if (operations++ >= crashAt) {
      throw new Crash();
    }
    if (operations > faultAt && operations <= faultsUntil) {
      throw new IOException("input/output error");
    }
  }

  private void moved() {
    folders.add(new TreeMap<>(files));
  }

  /** What a process finds that starts after the crash. */
  CrashingDirectory afterCrash(Random random) {
    CrashingDirectory after = new CrashingDirectory();
    Map<String, File> found = folders.get(random.nextInt(folders.size()));
    found.forEach(
        (name, file) -> {
          int more = file.written.size() - file.synced;
          int kept =
              file.synced
                  + switch (random.nextInt(3)) {
                    case 0 -> 0;
                    case 1 -> more;
                    default -> random.nextInt(more + 1);
                  };
          after.files.put(name, file.copy(kept));
        });
    after.folders.clear();
    after.folders.add(new TreeMap<>(after.files));
    return after;
  }

  /** Spoils a byte of a file. */
  void spoil(String name, int at) {
    byte[] bytes = files.get(name).written.toByteArray();
    bytes[at] ^= 0x55;
    File file = new File();
    file.written.writeBytes(bytes);
    file.synced = bytes.length;
    files.put(name, file);
  }

  CrashingDirectory copy() {
    CrashingDirectory copy = new CrashingDirectory();
    files.forEach((name, file) -> copy.files.put(name, file.copy(file.written.size())));
    copy.folders.set(0, new TreeMap<>(copy.files));
    return copy;
  }

  @Override
  public List<String> list() {
    return List.copyOf(files.keySet());
  }

  @Override
  public Out create(String name) throws IOException {
    step();
    File file = new File();
    files.put(name, file);
    moved();
    return new Out() {
      @Override
      public void write(byte[] bytes) throws IOException {
        step();
        file.written.writeBytes(bytes);
      }

      @Override
      public void sync() throws IOException {
        step();
        file.synced = syncsNothing ? file.synced : file.written.size();
      }

      @Override
      public void close() {
        // Closing keeps nothing.
      }
    };
  }

  @Override
  public byte[] read(String name, int most) throws IOException {
    File file = files.get(name);
    if (file == null) {
      throw new IOException("no such file: " + name);
    }
    byte[] all = file.written.toByteArray();
    return all.length > most ? Arrays.copyOf(all, most) : all;
  }

  @Override
  public void truncate(String name, long size) throws IOException {
    step();
    files.put(name, files.get(name).copy((int) size));
    moved();
  }

  @Override
  public void rename(String from, String to) throws IOException {
    step();
    files.put(to, files.remove(from));
    moved();
  }

  @Override
  public void delete(String name) throws IOException {
    step();
    files.remove(name);
    moved();
  }

  @Override
  public void syncFolder() throws IOException {
    step();
    folders.clear();
    folders.add(new TreeMap<>(files));
  }

  @Override
  public boolean lock() {
    return !locked;
  }

  @Override
  public void close() {
    // Nothing is open.
  }
}
