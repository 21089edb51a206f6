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
 * folder and merged. The folder is deleted when the process ends; the folder of a killed process is
 * deleted by the next sort.
 */
public final class ExternalSort implements TaskSource, Closeable {
  private static final String FOLDER_PREFIX = "tillerlink-sort-";
  private static final int TASKS_PER_RUN = 100_000;
  private static final int RECORD_BYTES =
      3 * Long.BYTES + 2 * Double.BYTES + 2 * Long.BYTES + 2 * Integer.BYTES;
  private static final int FAN_IN = 64;
  private static final int BUFFER_BYTES = 16_384;
  private static final Comparator<Task> ORDER =
      Comparator.comparingLong(Task::start).thenComparingLong(Task::number);

  /** A sorted run that is being merged. */
  private static final class Run implements Closeable {
    private final Path file;
    private final DataInputStream in;
    private Task head;

    /** Opens a run and reads its first task. */
    Run(Path file) throws IOException {
      this.file = file;
      in = new DataInputStream(new BufferedInputStream(Files.newInputStream(file), BUFFER_BYTES));
      advance();
    }

    /** Reads the next task; the head is null at the end of the run. */
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
  private final Thread cleaner = new Thread(this::deleteFolder, "clean");
  private final PriorityQueue<Run> openRuns =
      new PriorityQueue<>((a, b) -> ORDER.compare(a.head, b.head));
  private final List<Path> runs = new ArrayList<>();
  private final TaskSource source;
  private List<Task> inMemory;
  private int nextInMemory;
  private long bytesSpilled;
  private int filesCreated;

  /**
   * Creates a sort, which reads its source on the first call of {@link #next}.
   *
   * @param within the folder in which the temporary folder is created
   * @param maxBytes the maximum number of bytes to spill; the sort fails if it needs more
   * @throws IOException if the temporary folder cannot be created or a leftover one cannot be
   *     deleted
   */
  public ExternalSort(TaskSource source, Path within, long maxBytes) throws IOException {
    this.source = source;
    this.maxBytes = maxBytes;
    deleteLeftoverFolders(within);
    folder = Files.createTempDirectory(within, FOLDER_PREFIX + ProcessHandle.current().pid() + "-");
    Runtime.getRuntime().addShutdownHook(cleaner);
  }

  /**
   * Deletes the folders of processes that no longer run. The name of a folder contains the id of
   * its process.
   */
  private static void deleteLeftoverFolders(Path within) throws IOException {
    try (DirectoryStream<Path> folders = Files.newDirectoryStream(within, FOLDER_PREFIX + "*")) {
      for (Path leftover : folders) {
        String pid =
            leftover.getFileName().toString().substring(FOLDER_PREFIX.length()).split("-", -1)[0];
        if (pid.matches("[0-9]{1,9}") && ProcessHandle.of(Long.parseLong(pid)).isEmpty()) {
          delete(leftover);
        }
      }
    }
  }

  /** Deletes a folder and the files in it. */
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
    Run smallest = openRuns.poll();
    if (smallest == null) {
      return null;
    }
    Task task = smallest.head;
    smallest.advance();
    if (smallest.head != null) {
      openRuns.add(smallest);
    } else {
      smallest.close();
    }
    return task;
  }

  /** Reads all tasks of the source and prepares the merge, or sorts in memory if they fit. */
  private void sort() throws IOException {
    List<Task> run = new ArrayList<>(TASKS_PER_RUN);
    for (Task task = source.next(); task != null; task = source.next()) {
      if (run.size() == TASKS_PER_RUN) {
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
      openRuns.add(new Run(file));
    }
  }

  /**
   * Sorts a run and writes it to a file.
   *
   * @throws IOException if the file cannot be written or the limit is exceeded
   */
  private void spill(List<Task> run) throws IOException {
    run.sort(ORDER);
    bytesSpilled += (long) run.size() * RECORD_BYTES;
    if (bytesSpilled > maxBytes) {
      throw new IOException("sort exceeds its limit of " + maxBytes / (1 << 20) + " MB on disk");
    }
    Path file = folder.resolve("run-" + filesCreated++);
    try (DataOutputStream out = output(file)) {
      for (Task task : run) {
        write(out, task);
      }
    }
    runs.add(file);
  }

  /** Merges the first runs into one, to limit the number of open files. */
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

  /** Deletes the temporary folder. A failure is ignored. */
  private void deleteFolder() {
    try {
      delete(folder);
    } catch (IOException e) {
      // The next sort deletes the remaining files.
    }
  }

  @Override
  public void close() throws IOException {
    for (Run run : openRuns) {
      run.close();
    }
    openRuns.clear();
    deleteFolder();
    try {
      Runtime.getRuntime().removeShutdownHook(cleaner);
    } catch (IllegalStateException e) {
      // The process is ending and the shutdown hook is running.
    }
  }
}
