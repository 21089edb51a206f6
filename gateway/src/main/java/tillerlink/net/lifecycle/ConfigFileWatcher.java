package tillerlink.net.lifecycle;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Objects;

/**
 * Tells when a file was replaced or written anew; looks at it from time to time, on a thread of its
 * own.
 */
final class ConfigFileWatcher {
  private static final long LOOK_EVERY_MS = 250;

  /** What tells one state of the file from another; of a file that is missing, nothing is known. */
  private record Seen(Object file, Object changed, long size) {
    static Seen of(Path path) {
      try {
        BasicFileAttributes now = Files.readAttributes(path, BasicFileAttributes.class);
        return new Seen(now.fileKey(), now.lastModifiedTime(), now.size());
      } catch (IOException e) {
        return null;
      }
    }
  }

  private final Path path;
  private final Runnable changed;
  private Seen seen;

  ConfigFileWatcher(Path path, Runnable changed) {
    this.path = path;
    this.changed = changed;
    seen = Seen.of(path);
  }

  void start() {
    Thread thread = new Thread(this::look, "watch");
    thread.setDaemon(true);
    thread.start();
  }

  /** A file that is missing for a moment is being replaced: what it was is remembered. */
  private void look() {
    try {
      while (true) {
        Thread.sleep(LOOK_EVERY_MS);
        Seen now = Seen.of(path);
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
