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
 * A directory in memory that can crash at any operation. Afterwards, bytes that were synced are
 * there, and of the others any prefix, torn at any byte. Of the files created, renamed and deleted
 * since the directory was last synced, any prefix is so too.
 */
final class CrashingDirectory implements StorageDirectory {
  static final class Crash extends RuntimeException {
    private static final long serialVersionUID = 1L;
  }

  /** The bytes that were written, and how many of them a crash leaves. */
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

  /** The states a crash may leave: as of the last sync, then after each change since. */
  private final List<Map<String, File>> possibleStates = new ArrayList<>(List.of(new TreeMap<>()));

  private long crashAt = Long.MAX_VALUE;
  private long faultAt = Long.MAX_VALUE;
  private long faultsUntil;
  private boolean ignoreSyncs;
  long operations;
  boolean locked;

  CrashingDirectory crashAt(long operation) {
    crashAt = operation;
    return this;
  }

  /** That many operations fail, after the given number of them. */
  CrashingDirectory faults(long from, long count) {
    faultAt = from;
    faultsUntil = from + count;
    return this;
  }

  CrashingDirectory ignoreSyncs() {
    ignoreSyncs = true;
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

  private void namesChanged() {
    possibleStates.add(new TreeMap<>(files));
  }

  /** The directory as a process finds it that starts after the crash. */
  CrashingDirectory afterCrash(Random random) {
    CrashingDirectory after = new CrashingDirectory();
    Map<String, File> state = possibleStates.get(random.nextInt(possibleStates.size()));
    state.forEach(
        (name, file) -> {
          int unsynced = file.written.size() - file.synced;
          int length =
              file.synced
                  + switch (random.nextInt(3)) {
                    case 0 -> 0;
                    case 1 -> unsynced;
                    default -> random.nextInt(unsynced + 1);
                  };
          after.files.put(name, file.copy(length));
        });
    after.possibleStates.clear();
    after.possibleStates.add(new TreeMap<>(after.files));
    return after;
  }

  /** Corrupts one byte of a file. */
  void corrupt(String name, int at) {
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
    copy.possibleStates.set(0, new TreeMap<>(copy.files));
    return copy;
  }

  @Override
  public List<String> list() {
    return List.copyOf(files.keySet());
  }

  @Override
  public AppendOnlyFile create(String name) throws IOException {
    step();
    File file = new File();
    files.put(name, file);
    namesChanged();
    return new AppendOnlyFile() {
      @Override
      public void write(byte[] bytes) throws IOException {
        step();
        file.written.writeBytes(bytes);
      }

      @Override
      public void sync() throws IOException {
        step();
        file.synced = ignoreSyncs ? file.synced : file.written.size();
      }

      @Override
      public void close() {
        // Closing makes nothing durable.
      }
    };
  }

  @Override
  public byte[] read(String name, int maxBytes) throws IOException {
    File file = files.get(name);
    if (file == null) {
      throw new IOException("no such file: " + name);
    }
    byte[] all = file.written.toByteArray();
    return all.length > maxBytes ? Arrays.copyOf(all, maxBytes) : all;
  }

  @Override
  public void truncate(String name, long size) throws IOException {
    step();
    files.put(name, files.get(name).copy((int) size));
    namesChanged();
  }

  @Override
  public void rename(String from, String to) throws IOException {
    step();
    files.put(to, files.remove(from));
    namesChanged();
  }

  @Override
  public void delete(String name) throws IOException {
    step();
    files.remove(name);
    namesChanged();
  }

  @Override
  public void syncDirectory() throws IOException {
    step();
    possibleStates.clear();
    possibleStates.add(new TreeMap<>(files));
  }

  @Override
  public boolean tryLock() {
    return !locked;
  }

  @Override
  public void close() {
    // Nothing is open.
  }
}
