package tillerlink.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * A folder as the store uses it, so that faults can be put in. Names are plain names of files in
 * it.
 */
public interface StorageDirectory extends Closeable {
  /** A file that is written to its end. */
  interface Out extends Closeable {
    void write(byte[] bytes) throws IOException;

    /**
     * All that was written before is kept once this returns. After a fault nothing since the last
     * good one is.
     */
    void sync() throws IOException;
  }

  /** The names of all files, in order. */
  List<String> list() throws IOException;

  /** A new file, or one that is emptied. */
  Out create(String name) throws IOException;

  /** All of a file; {@code most} bytes at the most. */
  byte[] read(String name, int most) throws IOException;

  void truncate(String name, long size) throws IOException;

  void rename(String from, String to) throws IOException;

  void delete(String name) throws IOException;

  /** What was created, renamed and deleted before is kept once this returns. */
  void syncFolder() throws IOException;

  /**
   * Takes the folder for this process; a crash lets it go.
   *
   * @return false if another has it
   */
  boolean lock() throws IOException;
}
