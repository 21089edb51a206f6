package tillerlink.trace;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * External merge sort for tasks that do not fit into memory. Sorted runs are spilled to a temporary
 * folder and merged. The folder is deleted when the process ends; what a killed process left behind
 * is deleted by the next sort.
 */
public final class ExternalSort implements TaskSource, Closeable {
  private static final String PREFIX = "tillerlink-sort-";
  private static final int RUN_TASKS = 100_000;
  private static final int RECORD_BYTES =
      3 * Long.BYTES + 2 * Double.BYTES + 2 * Long.BYTES + 2 * Integer.BYTES;
  private static final int FAN_IN = 64;
  private static final int BUFFER_BYTES = 16_384;
  private static final Comparator<Task> ORDER =
      Comparator.comparingLong(Task::start).thenComparingLong(Task::number);

  /** One sorted run while it is merged. */
  private static final class Run implements Closeable {
    private final Path file;
    private final DataInputStream in;
    private Task head;

    Run(Path file) throws IOException {
      this.file = file;
      in = new DataInputStream(new BufferedInputStream(Files.newInputStream(file), BUFFER_BYTES));
      advance();
    }

    void advance() throws IOException {
      try {
        head =
            new Task(
                in.readLong(),
                in.readLong(),
                in.readDouble(),
                in.readDouble(),
                in.readLong(),
                in.readLong(),
                in.readLong(),
                in.readInt(),
                in.readInt());
      } catch (EOFException e) {
        head = null;
      }
    }

    @Override
    public void close() throws IOException {
      in.close();
      Files.deleteIfExists(file);
    }
  }

  private final Path folder;
  private final long maxBytes;
  private final Thread cleaner = new Thread(this::clean, "clean");
  private final PriorityQueue<Run> merged =
      new PriorityQueue<>((a, b) -> ORDER.compare(a.head, b.head));
  private final List<Path> runs = new ArrayList<>();
  private final TaskSource source;
  private List<Task> inMemory;
  private int nextInMemory;
  private long bytesSpilled;
  private int filesCreated;

  /**
   * Prepares a sort; it reads its source on the first call of {@link #next}.
   *
   * @param within the folder in which the temporary one is created
   * @param maxBytes how much may be spilled; beyond it the sort fails
   */
  public ExternalSort(TaskSource source, Path within, long maxBytes) throws IOException {
    this.source = source;
    this.maxBytes = maxBytes;
    removeLeftOvers(within);
    folder = Files.createTempDirectory(within, PREFIX + ProcessHandle.current().pid() + "-");
    Runtime.getRuntime().addShutdownHook(cleaner);
  }

  /** Deletes folders of processes that no longer run; the name contains the process id. */
  private static void removeLeftOvers(Path within) throws IOException {
    try (DirectoryStream<Path> folders = Files.newDirectoryStream(within, PREFIX + "*")) {
      for (Path left : folders) {
        String pid = left.getFileName().toString().substring(PREFIX.length()).split("-", -1)[0];
        if (pid.matches("[0-9]{1,9}") && ProcessHandle.of(Long.parseLong(pid)).isEmpty()) {
          delete(left);
        }
      }
    }
  }

  private static void delete(Path folder) throws IOException {
    try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
      for (Path file : files) {
        Files.deleteIfExists(file);
      }
    }
    Files.deleteIfExists(folder);
  }

  @Override
  public Task next() throws IOException {
    if (inMemory == null) {
      sort();
    }
    if (nextInMemory < inMemory.size()) {
      return inMemory.get(nextInMemory++);
    }
    Run least = merged.poll();
    if (least == null) {
      return null;
    }
    Task task = least.head;
    least.advance();
    if (least.head != null) {
      merged.add(least);
    } else {
      least.close();
    }
    return task;
  }

  private void sort() throws IOException {
    List<Task> run = new ArrayList<>(RUN_TASKS);
    for (Task task = source.next(); task != null; task = source.next()) {
      if (run.size() == RUN_TASKS) {
        spill(run);
        run.clear();
      }
      run.add(task);
    }
    run.sort(ORDER);
    if (runs.isEmpty()) {
      inMemory = run;
      return;
    }
    spill(run);
    inMemory = List.of();
    while (runs.size() > FAN_IN) {
      mergeFirstRuns();
    }
    for (Path file : runs) {
      merged.add(new Run(file));
    }
  }

  private void spill(List<Task> run) throws IOException {
    run.sort(ORDER);
    bytesSpilled += (long) run.size() * RECORD_BYTES;
    if (bytesSpilled > maxBytes) {
      throw new IOException("sorting takes more than " + maxBytes / (1 << 20) + " MB on disk");
    }
    Path file = folder.resolve("run-" + filesCreated++);
    try (DataOutputStream out = output(file)) {
      for (Task task : run) {
        write(out, task);
      }
    }
    runs.add(file);
  }

  /** Merges as many runs as may be open at once into one, to bound the open files. */
  private void mergeFirstRuns() throws IOException {
    PriorityQueue<Run> heads = new PriorityQueue<>((a, b) -> ORDER.compare(a.head, b.head));
    for (Path file : runs.subList(0, FAN_IN)) {
      heads.add(new Run(file));
    }
    Path file = folder.resolve("run-" + filesCreated++);
    try (DataOutputStream out = output(file)) {
      for (Run run = heads.poll(); run != null; run = heads.poll()) {
        write(out, run.head);
        run.advance();
        if (run.head != null) {
          heads.add(run);
        } else {
          run.close();
        }
      }
    }
    runs.subList(0, FAN_IN).clear();
    runs.add(file);
  }

  private static DataOutputStream output(Path file) throws IOException {
    return new DataOutputStream(
        new BufferedOutputStream(Files.newOutputStream(file), BUFFER_BYTES));
  }

  private static void write(DataOutputStream out, Task task) throws IOException {
    out.writeLong(task.start());
    out.writeLong(task.span());
    out.writeDouble(task.cores());
    out.writeDouble(task.memory());
    out.writeLong(task.job());
    out.writeLong(task.owner());
    out.writeLong(task.number());
    out.writeInt(task.kind());
    out.writeInt(task.rows());
  }

  private void clean() {
    try {
      delete(folder);
    } catch (IOException e) {
      // The next sort removes what is left.
    }
  }

  @Override
  public void close() throws IOException {
    for (Run run : merged) {
      run.close();
    }
    merged.clear();
    clean();
    try {
      Runtime.getRuntime().removeShutdownHook(cleaner);
    } catch (IllegalStateException e) {
      // The process is ending and the hook runs.
    }
  }
}
