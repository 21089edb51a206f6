package tillerlink.net.lifecycle;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Objects;

/**
 * Watcher that reports when a file was replaced or rewritten. It polls the file on its own daemon
 * thread, on which it also runs the callback.
 */
final class ConfigFileWatcher {
  private static final long POLL_INTERVAL_MS = 250;

  /** The attributes by which two versions of the file differ. */
  private record FileState(Object fileKey, Object modified, long size) {
    /** Returns the state of a file, or null if it is missing or cannot be read. */
    static FileState of(Path path) {
      try {
        BasicFileAttributes now = Files.readAttributes(path, BasicFileAttributes.class);
        return new FileState(now.fileKey(), now.lastModifiedTime(), now.size());
      } catch (IOException e) {
        return null;
      }
    }
  }

  private final Path path;
  private final Runnable onChange;
  private FileState lastState;

  ConfigFileWatcher(Path path, Runnable onChange) {
    this.path = path;
    this.onChange = onChange;
    lastState = FileState.of(path);
  }

  /** Starts polling, every 250 ms. */
  void start() {
    Thread thread = new Thread(this::poll, "watch");
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Polls the file until the thread is interrupted. A file that is missing is assumed to be in the
   * middle of being replaced, so its last state is kept until it exists again.
   */
  private void poll() {
    try {
      while (true) {
        Thread.sleep(POLL_INTERVAL_MS);
        FileState now = FileState.of(path);
        if (now != null && !Objects.equals(now, lastState)) {
          lastState = now;
          onChange.run();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
