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
 * An in-memory directory that can crash at any operation. After the crash, each file contains all
 * synced bytes and any prefix of the unsynced ones, which may end within a record. Of the
 * creations, renames and deletions since the last sync of the directory, any prefix has taken
 * effect.
 */
final class CrashingDirectory implements StorageDirectory {
  /** Signals that the simulated crash point was reached. */
  static final class Crash extends RuntimeException {
    private static final long serialVersionUID = 1L;
  }

  /** The bytes written to a file and the number of them that are certain to survive a crash. */
  private static final class InMemoryFile {
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private int synced;

    InMemoryFile copy(int length) {
      InMemoryFile copy = new InMemoryFile();
      copy.written.write(written.toByteArray(), 0, length);
      copy.synced = length;
      return copy;
    }
  }

  private final Map<String, InMemoryFile> files = new TreeMap<>();

  /**
   * The states that a crash may leave: that of the last sync, then that after each change since.
   */
  private final List<Map<String, InMemoryFile>> possibleStates =
      new ArrayList<>(List.of(new TreeMap<>()));

  private long crashAt = Long.MAX_VALUE;
  private long firstFaultAt = Long.MAX_VALUE;
  private long lastFaultAt;
  private boolean ignoreSyncs;
  long operations;
  boolean locked;

  /**
   * Sets the crash point.
   *
   * @param operation the number of operations that succeed before the crash
   */
  CrashingDirectory crashAt(long operation) {
    crashAt = operation;
    return this;
  }

  /**
   * Injects I/O errors.
   *
   * @param succeeding the number of operations that succeed before the first error
   * @param count the number of consecutive operations that fail
   */
  CrashingDirectory failOperations(long succeeding, long count) {
    firstFaultAt = succeeding;
    lastFaultAt = succeeding + count;
    return this;
  }

  /** Makes syncs of files ineffective, so that a test can show that it detects missing syncs. */
  CrashingDirectory ignoreSyncs() {
    ignoreSyncs = true;
    return this;
  }

  private void startOperation() throws IOException {
    if (operations++ >= crashAt) {
      throw new Crash();
    }
    if (operations > firstFaultAt && operations <= lastFaultAt) {
      throw new IOException("injected I/O error");
    }
  }

  private void recordPossibleState() {
    possibleStates.add(new TreeMap<>(files));
  }

  /** Returns the directory as a process that starts after the crash finds it. */
  CrashingDirectory afterCrash(Random random) {
    CrashingDirectory survivor = new CrashingDirectory();
    Map<String, InMemoryFile> state = possibleStates.get(random.nextInt(possibleStates.size()));
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
          survivor.files.put(name, file.copy(length));
        });
    survivor.possibleStates.clear();
    survivor.possibleStates.add(new TreeMap<>(survivor.files));
    return survivor;
  }

  /** Corrupts one byte of a file. */
  void corrupt(String name, int at) {
    byte[] bytes = files.get(name).written.toByteArray();
    bytes[at] ^= 0x55;
    InMemoryFile file = new InMemoryFile();
    file.written.writeBytes(bytes);
    file.synced = bytes.length;
    files.put(name, file);
  }

  /** Returns a copy in which all written bytes are durable. */
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
    startOperation();
    InMemoryFile file = new InMemoryFile();
    files.put(name, file);
    recordPossibleState();
    return new AppendOnlyFile() {
      @Override
      public void write(byte[] bytes) throws IOException {
        startOperation();
        file.written.writeBytes(bytes);
      }

      @Override
      public void sync() throws IOException {
        startOperation();
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
    InMemoryFile file = files.get(name);
    if (file == null) {
      throw new IOException("no such file: " + name);
    }
    byte[] all = file.written.toByteArray();
    return all.length > maxBytes ? Arrays.copyOf(all, maxBytes) : all;
  }

  @Override
  public void truncate(String name, long size) throws IOException {
    startOperation();
    files.put(name, files.get(name).copy((int) size));
    recordPossibleState();
  }

  @Override
  public void rename(String from, String to) throws IOException {
    startOperation();
    files.put(to, files.remove(from));
    recordPossibleState();
  }

  @Override
  public void delete(String name) throws IOException {
    startOperation();
    files.remove(name);
    recordPossibleState();
  }

  @Override
  public void syncDirectory() throws IOException {
    startOperation();
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
