package tillerlink.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * The directory operations that the store needs. This is an interface so that tests can inject
 * faults. File names are plain names within the directory. An instance must be used by only one
 * thread at a time.
 */
public interface StorageDirectory extends Closeable {
  /** A file that is written sequentially from its start. */
  interface AppendOnlyFile extends Closeable {
    /** Appends the bytes. A crash may lose them until {@link #sync} has returned. */
    void write(byte[] bytes) throws IOException;

    /**
     * Flushes the file to the disk (fsync). Once this method has returned, all bytes written before
     * the call are durable.
     *
     * @throws IOException if the sync fails; none of the bytes written since the last successful
     *     sync may then be assumed to be durable
     */
    void sync() throws IOException;
  }

  /** Returns the names of all files in ascending order. */
  List<String> list() throws IOException;

  /** Creates a file, or truncates it to zero length if it exists. */
  AppendOnlyFile create(String name) throws IOException;

  /**
   * Reads a file from its start.
   *
   * @param maxBytes the maximum number of bytes to read
   * @return the bytes; fewer than the maximum if the file is shorter
   */
  byte[] read(String name, int maxBytes) throws IOException;

  /**
   * Truncates a file and flushes it to the disk.
   *
   * @param bytes the new length
   */
  void truncate(String name, long bytes) throws IOException;

  /** Renames a file atomically and replaces any existing file of the new name. */
  void rename(String from, String to) throws IOException;

  /** Deletes a file if it exists. */
  void delete(String name) throws IOException;

  /**
   * Flushes the directory itself (fsync), which makes all previous creations, renames and deletions
   * of files durable.
   */
  void syncDirectory() throws IOException;

  /**
   * Locks the directory for this instance. {@link #close} and the end of the process release the
   * lock.
   *
   * @return whether the lock was acquired; false if another process or instance has it
   */
  boolean tryLock() throws IOException;
}
