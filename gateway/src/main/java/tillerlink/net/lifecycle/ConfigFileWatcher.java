package tillerlink.net.lifecycle;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Objects;

/**
 * Notifies when a file was replaced or rewritten; polls it on a daemon thread of its own, on which
 * it also calls back.
 */
final class ConfigFileWatcher {
  private static final long POLL_INTERVAL_MS = 250;

  /** What tells one state of the file from another; of a file that is missing, nothing is known. */
  private record FileState(Object file, Object changed, long size) {
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
  private final Runnable changed;
  private FileState seen;

  ConfigFileWatcher(Path path, Runnable changed) {
    this.path = path;
    this.changed = changed;
    seen = FileState.of(path);
  }

  void start() {
    Thread thread = new Thread(this::poll, "watch");
    thread.setDaemon(true);
    thread.start();
  }

  /** A file that is missing for a moment is being replaced: what it was is remembered. */
  private void poll() {
    try {
      while (true) {
        Thread.sleep(POLL_INTERVAL_MS);
        FileState now = FileState.of(path);
        if (now != null && !Objects.equals(now, seen)) {
          seen = now;
          changed.run();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
