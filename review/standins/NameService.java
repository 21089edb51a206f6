import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A name service: answers each SRV query with the whole list and the number of the last event. */
final class NameService implements AutoCloseable {
  /** An engine in the list. */
  static final class Entry {
    final String id;
    final String zone;
    final String kind;
    final int port;
    final long startedMs;
    boolean draining;

    Entry(String id, String zone, String kind, int port, long startedMs) {
      this.id = id;
      this.zone = zone;
      this.kind = kind;
      this.port = port;
      this.startedMs = startedMs;
    }
  }

  private final DatagramSocket socket;
  private final Record record;
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private int serial = 1;
  private int lastAnsweredSerial;
  private volatile boolean silent;
  private volatile double lastAnswerAt;
  private final java.util.List<Double> queries = new java.util.concurrent.CopyOnWriteArrayList<>();
  private volatile double toldAt = Double.MAX_VALUE;

  NameService(Record record) throws IOException {
    this.record = record;
    socket = new DatagramSocket(new InetSocketAddress("127.0.0.1", 0));
    Thread thread = new Thread(this::serve, "name service");
    thread.setDaemon(true);
    thread.start();
  }

  int port() {
    return socket.getLocalPort();
  }

  synchronized int serial() {
    return serial;
  }

  double lastAnswerAt() {
    return lastAnswerAt;
  }

  /** Returns when the first query after a time came. */
  double firstQueryAfter(double time) {
    return queries.stream().filter(at -> at >= time).findFirst().orElse(Double.MAX_VALUE);
  }

  /** Returns when the last event was first told in an answer. */
  double toldAt() {
    return toldAt;
  }

  synchronized void add(Entry entry) {
    entries.put(entry.id, entry);
  }

  /** Lists an engine as draining, which is a new event; returns its time. */
  synchronized double drain(String id) {
    entries.get(id).draining = true;
    serial++;
    return record.line("name-service event " + serial + ": " + id + " drains");
  }

  /** Loses all answers from now on, or no longer. */
  void silence(boolean on) {
    silent = on;
    record.line("name-service " + (on ? "answers no more" : "answers again"));
  }

  private void serve() {
    byte[] buffer = new byte[512];
    try {
      while (true) {
        DatagramPacket query = new DatagramPacket(buffer, buffer.length);
        socket.receive(query);
        queries.add(record.now());
        if (silent) {
          record.line("name-service query lost");
          continue;
        }
        byte[] answer = answer(query);
        socket.send(new DatagramPacket(answer, answer.length, query.getSocketAddress()));
        lastAnswerAt = record.now();
        if (toldAt == Double.MAX_VALUE && lastAnsweredSerial > 1) {
          toldAt = lastAnswerAt;
        }
      }
    } catch (IOException e) {
      // Closed.
    }
  }

  private synchronized byte[] answer(DatagramPacket query) throws IOException {
    if (serial != lastAnsweredSerial) {
      lastAnsweredSerial = serial;
      record.line("name-service answers with event " + serial);
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.write(query.getData(), 0, 2);
    shorts(out, 0x8400, 1, entries.size(), 1, 2 * entries.size());
    out.write(query.getData(), 12, query.getLength() - 12);
    for (Entry entry : entries.values()) {
      byte[] name = name(entry);
      shorts(out, 0xc00c, 33, 1, 0, 1, 6 + name.length, entry.draining ? 1 : 0, 10, entry.port);
      out.write(name);
    }
    shorts(out, 0xc00c, 6, 1, 0, 1, 24, 0xc00c, 0xc00c);
    out.writeInt(serial);
    shorts(out, 0, 0, 0, 0, 0, 0, 0, 0);
    for (Entry entry : entries.values()) {
      out.write(name(entry));
      shorts(out, 1, 1, 0, 1, 4);
      out.write(InetAddress.getByName("127.0.0.1").getAddress());
      out.write(name(entry));
      byte[] text = labels("kind=" + entry.kind, "cell=0", "started=" + entry.startedMs);
      shorts(out, 16, 1, 0, 1, text.length);
      out.write(text);
    }
    return bytes.toByteArray();
  }

  private static byte[] name(Entry entry) {
    byte[] labels = labels(entry.id, entry.zone, "hosts");
    return java.util.Arrays.copyOf(labels, labels.length + 1);
  }

  private static byte[] labels(String... labels) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (String label : labels) {
      out.write(label.length());
      out.writeBytes(label.getBytes(StandardCharsets.US_ASCII));
    }
    return out.toByteArray();
  }

  private static void shorts(DataOutputStream out, int... values) throws IOException {
    for (int value : values) {
      out.writeShort(value);
    }
  }

  @Override
  public void close() {
    socket.close();
  }
}
