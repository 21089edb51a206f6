package tillerlink.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * The operations that the store needs of a directory, so that tests can inject faults. Names are
 * plain file names within the directory. Used by one thread at a time.
 */
public interface StorageDirectory extends Closeable {
  /** A file that is written from its start to its end. */
  interface AppendOnlyFile extends Closeable {
    /** Appends all the bytes; they may be lost in a crash until {@link #sync} has returned. */
    void write(byte[] bytes) throws IOException;

    /**
     * Flushes the file to the disk (fsync): all that was written before it is durable once it
     * returns. After an exception nothing written since the last successful sync is.
     */
    void sync() throws IOException;
  }

  /** The names of all files, sorted. */
  List<String> list() throws IOException;

  /** Creates the file, or empties it if it exists. */
  AppendOnlyFile create(String name) throws IOException;

  /** The first bytes of a file, up to a bound. */
  byte[] read(String name, int maxBytes) throws IOException;

  /** Cuts a file to that many bytes and flushes it. */
  void truncate(String name, long bytes) throws IOException;

  /** Renames a file atomically, replacing one of the new name. */
  void rename(String from, String to) throws IOException;

  /** Deletes a file; one that does not exist is no error. */
  void delete(String name) throws IOException;

  /**
   * Flushes the directory itself: files created, renamed and deleted before are durable as such.
   */
  void syncDirectory() throws IOException;

  /**
   * Locks the directory for this process; {@link #close} and the end of the process release it.
   *
   * @return false if another holder has the lock
   */
  boolean tryLock() throws IOException;
}
