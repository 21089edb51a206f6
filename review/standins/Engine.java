import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An engine that speaks the line protocol. It runs all that it is sent at once, up to six sessions
 * a core, and is full beyond that. What begins while more threads run than it has cores takes
 * longer. It sends a note of progress every two seconds, stops what was given up or whose time is
 * over, and keeps a result until it is no longer wanted.
 */
final class Engine implements AutoCloseable {
  /** What a test decides about requests. */
  interface Script {
    /** Called when a request has come whole. */
    default void onWant(Engine engine, Want want) {}

    /** Returns what a request needs and gives. */
    Job job(Engine engine, Want want);
  }

  /**
   * What a request needs and gives.
   *
   * @param workMs the work of all its threads together
   * @param threads the threads that it runs on
   * @param rows the result: rows as text
   */
  record Job(long workMs, int threads, byte[] rows) {}

  /** A request as an engine receives it. */
  record Want(String id, String fields, String statement, double at) {
    String field(String name) {
      for (String field : fields.split(",")) {
        if (field.startsWith(name + "=")) {
          return field.substring(name.length() + 1);
        }
      }
      return "";
    }
  }

  private static final int PAGE = 6000;
  private static final int SESSIONS_PER_CORE = 6;
  private static final long NOTES_EVERY_MS = 2000;
  private static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(2, daemon());
  private static final ExecutorService WORKERS = Executors.newCachedThreadPool(daemon());

  final String id;
  final int cores;
  private final ServerSocket listening;
  private final Record record;
  private final Script script;
  private final AtomicInteger sessions = new AtomicInteger();
  private final AtomicInteger threads = new AtomicInteger();
  private final Map<String, byte[][]> results = new ConcurrentHashMap<>();

  Engine(String id, int cores, Record record, Script script) throws IOException {
    this.id = id;
    this.cores = cores;
    this.record = record;
    this.script = script;
    listening = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    WORKERS.execute(this::accept);
  }

  private static java.util.concurrent.ThreadFactory daemon() {
    return task -> {
      Thread thread = new Thread(task);
      thread.setDaemon(true);
      return thread;
    };
  }

  int port() {
    return listening.getLocalPort();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listening.accept();
        socket.setTcpNoDelay(true);
        WORKERS.execute(new Connection(socket));
      }
    } catch (IOException e) {
      // Closed.
    }
  }

  @Override
  public void close() throws IOException {
    listening.close();
  }

  private final class Connection implements Runnable {
    private final Socket socket;
    private final Map<String, Want> open = new ConcurrentHashMap<>();

    Connection(Socket socket) {
      this.socket = socket;
    }

    @Override
    public void run() {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (true) {
          command(in, line(in).split(" "));
        }
      } catch (IOException | RuntimeException e) {
        // The connection ended, which gives up all that is open on it.
      }
      open.clear();
    }

    private void command(InputStream in, String[] words) throws IOException {
      switch (words[0]) {
        case "want" -> {
          byte[] statement = in.readNBytes(Integer.parseInt(words[3]));
          if (!line(in).isEmpty()) {
            throw new IOException("no CR LF after a statement");
          }
          want(words[1], words[2], new String(statement, StandardCharsets.UTF_8));
        }
        case "never_mind" -> {
          if (open.remove(words[1]) != null) {
            record.line(id + " given up " + words[1]);
          }
        }
        case "turn" -> {
          byte[][] pages = results.get(words[1]);
          int page = Integer.parseInt(words[2]);
          if (pages == null || page >= pages.length) {
            send(words[1] + " error - 0", new byte[0]);
          } else {
            send(words[1] + " batch pos=" + page + " " + pages[page].length, pages[page]);
          }
        }
        case "shut" -> results.remove(words[1]);
        case "there" -> send(words[1] + " yes - 0", new byte[0]);
        default -> throw new IOException("unknown command");
      }
    }

    private void want(String requestId, String fields, String statement) throws IOException {
      Want want = new Want(requestId, fields, statement, record.now());
      record.line(id + " got " + requestId + " " + fields);
      script.onWant(Engine.this, want);
      if (sessions.incrementAndGet() > SESSIONS_PER_CORE * cores) {
        sessions.decrementAndGet();
        record.line(id + " full " + requestId);
        send(requestId + " refused - 0", new byte[0]);
        return;
      }
      open.put(requestId, want);
      Job job = script.job(Engine.this, want);
      int running = threads.addAndGet(job.threads());
      long takesMs = job.workMs() / job.threads() * Math.max(cores, running) / cores;
      long limitMs = Long.parseLong(want.field("limit"));
      for (long at = NOTES_EVERY_MS; at < Math.min(takesMs, limitMs); at += NOTES_EVERY_MS) {
        double share = (double) at / takesMs;
        TIMER.schedule(() -> WORKERS.execute(() -> note(want, share)), at, TimeUnit.MILLISECONDS);
      }
      boolean inTime = takesMs < limitMs;
      TIMER.schedule(
          () -> WORKERS.execute(() -> end(want, job, inTime)),
          Math.min(takesMs, limitMs),
          TimeUnit.MILLISECONDS);
    }

    private void note(Want want, double share) {
      if (open.get(want.id()) == want) {
        try {
          send(want.id() + " progress tell=frac,reading=" + share + " 0", new byte[0]);
        } catch (IOException e) {
          // The connection ended.
        }
      }
    }

    private void end(Want want, Job job, boolean inTime) {
      sessions.decrementAndGet();
      threads.addAndGet(-job.threads());
      if (!open.remove(want.id(), want) || !inTime) {
        return;
      }
      byte[][] pages = pages(job.rows());
      if (pages.length > 1) {
        results.put(want.id(), pages);
      }
      record.line(id + " ran " + want.id());
      try {
        send(want.id() + " ok count=" + pages.length + " " + pages[0].length, pages[0]);
      } catch (IOException e) {
        // The connection ended.
      }
    }

    private void send(String head, byte[] body) throws IOException {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.writeBytes((head + "\r\n").getBytes(StandardCharsets.US_ASCII));
      out.writeBytes(body);
      out.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
      synchronized (this) {
        OutputStream stream = socket.getOutputStream();
        stream.write(out.toByteArray());
        stream.flush();
      }
    }

    private String line(InputStream in) throws IOException {
      StringBuilder line = new StringBuilder();
      for (int octet = in.read(); octet != '\n'; octet = in.read()) {
        if (octet < 0) {
          throw new EOFException();
        }
        line.append((char) octet);
      }
      if (line.length() == 0 || line.charAt(line.length() - 1) != '\r') {
        throw new IOException("no CR");
      }
      return line.substring(0, line.length() - 1);
    }
  }

  /** Splits rows into pages that hold whole rows. */
  private static byte[][] pages(byte[] rows) {
    java.util.List<byte[]> pages = new java.util.ArrayList<>();
    int from = 0;
    int rowEnd = 0;
    for (int i = 0; i < rows.length; i++) {
      if (rows[i] == '\n') {
        if (i + 1 - from > PAGE) {
          pages.add(java.util.Arrays.copyOfRange(rows, from, rowEnd));
          from = rowEnd;
        }
        rowEnd = i + 1;
      }
    }
    pages.add(java.util.Arrays.copyOfRange(rows, from, rows.length));
    return pages.toArray(new byte[0][]);
  }
}
